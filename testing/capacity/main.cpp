#include <iostream>

#include "command_line.h"

int main(int argc, char** argv) {
  return corkward::testing::capacity::runCommand(argc, argv, std::cout, std::cerr);
}
