#include "rig.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iomanip>
#include <map>
#include <ostream>

#include "parts.h"

namespace corkward::testing::capacity {

namespace po = boost::program_options;

int rig(int argc, char const* const* argv, std::ostream& out, std::ostream& errors) {
  std::string part;
  std::string sweepText;
  std::string file;
  std::map<std::string, std::int64_t> given;
  po::options_description flags(
      "corkward-capacity: slopes of the real reducers and codecs, many hollow processes in one, in virtual time");
  po::options_description_easy_init add = flags.add_options();
  add("part", po::value(&part), "what is measured");
  add("sweep", po::value(&sweepText), "NAME=VALUE,VALUE,...: run at each of these sizes");
  add("out", po::value(&file), "file for the CSV instead of standard output");
  add("help", "print this");
  Sizes const defaults;
  for (SizeRow const& r : sizeTable) add(r.name, po::value(&given[r.name])->default_value(defaults.*(r.field)), r.what);
  try {
    po::variables_map vm;
    po::store(po::command_line_parser(argc, argv).options(flags).positional(po::positional_options_description()).run(),
              vm);
    po::notify(vm);
    if (vm.count("help") > 0) {
      out << flags << "\nparts:\n";
      for (PartRow const* p = partTable; p->name != nullptr; ++p)
        out << "  " << std::left << std::setw(10) << p->name << p->what << "\n";
      return 0;
    }
    PartRow const* const chosen = findPart(part);
    if (chosen == nullptr) throw SizesError(part.empty() ? "part: missing" : "part: no such part: " + part);
    Sizes sizes;
    for (std::map<std::string, std::int64_t>::value_type const& g : given) setSize(sizes, g.first, g.second);
    Sweep sweep{"nodes", {sizes.nodes}};
    if (!sweepText.empty()) sweep = readSweep(sweepText);
    for (std::int64_t const value : sweep.values) {
      Sizes one = sizes;
      setSize(one, sweep.name, value);
      checkSizes(one);
    }
    std::ofstream written;
    if (!file.empty()) {
      written.open(file);
      if (!written) throw SizesError("out: cannot be written: " + file);
    }
    std::ostream& to = file.empty() ? out : written;
    to << "# corkward-capacity";
    for (int i = 1; i < argc; ++i) {
      std::string const word = argv[i];
      if (word == "--out" && i + 1 < argc)
        ++i;
      else if (word.rfind("--out=", 0) != 0)
        to << " " << word;
    }
    to << "\nmeasure,role,unit,kind,of,size,value\n" << std::setprecision(8);
    for (std::int64_t const value : sweep.values) {
      Sizes one = sizes;
      setSize(one, sweep.name, value);
      for (Row const& r : chosen->run(one))
        to << r.measure << "," << r.role << "," << r.unit << "," << r.kind << "," << sweep.name << "," << value << ","
           << r.value << "\n";
      to.flush();
    }
    if (!to) throw SizesError("out: cannot be written");
  } catch (po::error const& e) {
    errors << "corkward-capacity: " << e.what() << "\n";
    return 2;
  } catch (SizesError const& e) {
    errors << "corkward-capacity: " << e.what() << "\n";
    return 2;
  }
  return 0;
}

}  // namespace corkward::testing::capacity
