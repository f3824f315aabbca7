#include "commands.h"

#include <algorithm>

#include <corkward/config/config.h>

#include "former_names.h"
#include "operator_client.h"
#include "operator_paths.h"

namespace corkward::programs {

namespace {

using core::HttpMethod;
using Arguments = std::vector<std::string>;

CommandRequest getTemplate(Arguments const& arguments) {
  return {HttpMethod::get, paths::ofTemplate(arguments[0])};
}
CommandRequest putTemplate(Arguments const& arguments) {
  return {HttpMethod::put, paths::ofTemplate(arguments[0]), arguments[1]};
}
CommandRequest patchTemplate(Arguments const& arguments) {
  return {HttpMethod::patch, paths::ofTemplate(arguments[0]), arguments[1]};
}
CommandRequest deleteTemplate(Arguments const& arguments) {
  return {HttpMethod::del, paths::ofTemplate(arguments[0])};
}
CommandRequest listTemplates(Arguments const&) {
  return {HttpMethod::get, paths::templates};
}

CommandRequest getInstance(Arguments const& arguments) {
  return {HttpMethod::get, paths::ofTemplate(arguments[0], arguments[1])};
}
CommandRequest putInstance(Arguments const& arguments) {
  return {HttpMethod::put, paths::ofTemplate(arguments[0], arguments[1]), arguments[2]};
}
CommandRequest patchInstance(Arguments const& arguments) {
  return {HttpMethod::patch, paths::ofTemplate(arguments[0], arguments[1]), arguments[2]};
}
CommandRequest deleteInstance(Arguments const& arguments) {
  return {HttpMethod::del, paths::ofTemplate(arguments[0], arguments[1])};
}

CommandRequest getFleetConfiguration(Arguments const&) {
  return {HttpMethod::get, config::fleetConfigurationPage};
}
CommandRequest putFleetConfiguration(Arguments const& arguments) {
  return {HttpMethod::put, config::fleetConfigurationPage, arguments[0]};
}
CommandRequest patchFleetConfiguration(Arguments const& arguments) {
  return {HttpMethod::patch, config::fleetConfigurationPage, arguments[0]};
}

CommandRequest getCertificates(Arguments const&) {
  return {HttpMethod::get, paths::certificates};
}
CommandRequest putCertificates(Arguments const& arguments) {
  return {HttpMethod::put, paths::certificates, arguments[0]};
}
CommandRequest patchCertificates(Arguments const& arguments) {
  return {HttpMethod::patch, paths::certificates, arguments[0]};
}
CommandRequest revokeCertificate(Arguments const& arguments) {
  return {HttpMethod::del, paths::ofCertificate(arguments[0])};
}

CommandRequest putEvacuation(Arguments const& arguments) {
  return {HttpMethod::put, paths::ofEvacuation(arguments[0])};
}
CommandRequest deleteEvacuation(Arguments const& arguments) {
  return {HttpMethod::del, paths::ofEvacuation(arguments[0])};
}
CommandRequest getEvacuation(Arguments const& arguments) {
  return {HttpMethod::get, paths::ofEvacuation(arguments[0])};
}

CommandRequest getPool(Arguments const& arguments) {
  return {HttpMethod::get, paths::ofPool(arguments[0])};
}
CommandRequest putPool(Arguments const& arguments) {
  return {HttpMethod::put, paths::ofPool(arguments[0]), arguments[1]};
}

CommandRequest getChange(Arguments const& arguments) {
  return {HttpMethod::get, paths::ofChange(arguments[0])};
}
CommandRequest removeNode(Arguments const& arguments) {
  return {HttpMethod::del, paths::ofNode(arguments[0])};
}
CommandRequest getFleet(Arguments const&) {
  return {HttpMethod::get, paths::fleet};
}

std::size_t argumentCount(Command const& command) {
  std::string const names = command.arguments;
  return names.empty() ? 0 : static_cast<std::size_t>(std::count(names.begin(), names.end(), ' ')) + 1;
}

Command const& commandNamed(std::string const& name) {
  std::string const current = currentCommandName(name);
  auto const found = std::find_if(commands().begin(), commands().end(),
                                  [&](Command const& command) { return current == command.name; });
  if (found == commands().end()) throw UsageError("no such command: " + name);
  return *found;
}

}  // namespace

std::vector<Command> const& commands() {
  static std::vector<Command> const table{
      {"template-get", "T", "read a template", getTemplate},
      {"template-put", "T FILE", "create or replace a template (--revision, 0 for a new one)", putTemplate},
      {"template-patch", "T FILE", "change part of a template by a merge patch (--revision)", patchTemplate},
      {"template-delete", "T", "remove a template that has no instances (--revision)", deleteTemplate},
      {"templates", "", "list the templates", listTemplates},
      {"instance-get", "T I", "read an instance", getInstance},
      {"instance-put", "T I FILE", "create or replace an instance (--revision, 0 for a new one)", putInstance},
      {"instance-patch", "T I FILE", "change part of an instance by a merge patch (--revision)", patchInstance},
      {"instance-delete", "T I", "remove an instance (--revision)", deleteInstance},
      {"fleet-configuration-get", "", "read the fleet configuration", getFleetConfiguration},
      {"fleet-configuration-put", "FILE",
       "replace the fleet configuration (--revision, the version that the change is based on, or 0 if there is none "
       "yet)",
       putFleetConfiguration},
      {"fleet-configuration-patch", "FILE",
       "set and remove named items of the fleet configuration (--revision, the version that the change is "
       "based on)",
       patchFleetConfiguration},
      {"certificates-get", "", "read the regimes and their certificates", getCertificates},
      {"certificates-put", "FILE", "replace the regimes and their certificates (--revision, 0 if there are none yet)",
       putCertificates},
      {"certificates-patch", "FILE", "change some regimes and certificates by a merge patch (--revision)",
       patchCertificates},
      {"revoke", "CERTIFICATE", "revoke a certificate at once and list the tenants that have no certificate left",
       revokeCertificate},
      {"evacuate", "ZONE", "evacuate a zone", putEvacuation},
      {"lift", "ZONE", "end a zone's evacuation", deleteEvacuation},
      {"evacuation", "ZONE", "read whether a zone is evacuated", getEvacuation},
      {"pool-get", "POOL", "read a pool's endpoint list", getPool},
      {"pool-put", "POOL FILE", "replace a pool's endpoint list, as the platform does", putPool},
      {"change", "ID", "read the outcome of a change", getChange},
      {"diff", "DIR", "compare a directory of declarations with the fleet (exit code 1 when they differ)", nullptr},
      {"apply", "DIR", "change the fleet to match a directory of declarations (--dry-run, --prune, --wait)", nullptr},
      {"regime", "report DIR...",
       "report which requests ran where, were rejected or were resumed, from copies of the routers' audit directories "
       "(--regime, --from, --until, --span, --head; exit code 1 if records were changed or are missing)",
       nullptr},
      {"node-remove", "LINK", "declare that the machine of a failed node is switched off permanently", removeNode},
      {"fleet", "", "show the fleet as one controller sees it", getFleet}};
  return table;
}

std::string currentCommandName(std::string const& name) {
  for (auto const& [former, current] : former_names::commands)
    if (name == former) return current;
  return name;
}

CommandRequest requestOf(std::vector<std::string> const& commandLine) {
  if (commandLine.empty()) throw UsageError("a command is missing; corkward --help lists all commands");
  Command const& command = commandNamed(commandLine[0]);
  std::size_t const expectedCount = argumentCount(command);
  bool const complete = commandLine.size() == expectedCount + 1 && command.request != nullptr;
  if (!complete)
    throw UsageError(commandLine[0] + (expectedCount == 0 ? ": takes no arguments"
                                                          : std::string(": needs the arguments ") + command.arguments));
  return command.request({commandLine.begin() + 1, commandLine.end()});
}

}  // namespace corkward::programs
