#include <iostream>

#include "rig.h"

int main(int argc, char** argv) {
  return corkward::testing::capacity::rig(argc, argv, std::cout, std::cerr);
}
