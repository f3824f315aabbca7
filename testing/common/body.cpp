#include "body.h"

#include <sstream>

namespace corkward::testing {

std::string tokenText(std::string const& run, std::uint64_t n) {
  return run + " " + std::to_string(n) + "\n";
}

std::string bodyOf(std::string const& run, std::uint64_t tokens) {
  std::string out;
  for (std::uint64_t n = 0; n < tokens; ++n) out += tokenText(run, n);
  return out + run + " end " + std::to_string(tokens) + "\n";
}

BodyVerdict checkBody(std::string const& body) {
  BodyVerdict out;
  std::istringstream in(body);
  std::string line;
  std::uint64_t next = 0;
  bool ended = false;
  while (std::getline(in, line)) {
    if (in.eof()) {
      std::string const next1 = out.run + " " + std::to_string(next) + "\n";
      std::string const next2 = out.run + " end " + std::to_string(next) + "\n";
      bool const begun = out.run.empty() || next1.rfind(line, 0) == 0 || next2.rfind(line, 0) == 0;
      out.oneRun = out.oneRun && begun && !ended;
      break;
    }
    std::size_t const space = line.find(' ');
    std::string const run = line.substr(0, space);
    if (out.run.empty()) out.run = run;
    std::string const rest = space == std::string::npos ? "" : line.substr(space + 1);
    if (run != out.run || ended) out.oneRun = false;
    if (rest == "end " + std::to_string(next)) {
      ended = true;
    } else if (rest == std::to_string(next)) {
      ++next;
    } else {
      out.oneRun = false;
    }
  }
  out.tokens = next;
  out.complete = ended && out.oneRun && !body.empty() && body.back() == '\n';
  return out;
}

}  // namespace corkward::testing
