#pragma once

/// Names of JSON fields that more than one file of this package reads or writes.
///
/// The texts are part of the format of the operators' HTTP resources and of the records on disk and must not change.
/// The constants are named by the terms that the code uses.

#include <QLatin1String>

namespace corkward::control::fields {

// Fields of HTTP resources and stored values.
inline constexpr QLatin1String spec("spec");
/// Revision of a key, template or instance.
inline constexpr QLatin1String revision("stamp");
/// Version of the fleet configuration, which operators choose.
inline constexpr QLatin1String version("version");
inline constexpr QLatin1String templateSpec("template");
inline constexpr QLatin1String instances("instances");
inline constexpr QLatin1String certificates("certificates");
inline constexpr QLatin1String generation("generation");
inline constexpr QLatin1String evacuated("evacuated");
/// Recent changes of a key by their change ids.
inline constexpr QLatin1String changes("changes");

// Fields of replies.
inline constexpr QLatin1String changeId("changeId");
inline constexpr QLatin1String replayed("replayed");
inline constexpr QLatin1String dryRun("dryRun");
inline constexpr QLatin1String error("error");
inline constexpr QLatin1String reason("reason");
inline constexpr QLatin1String pointer("pointer");
inline constexpr QLatin1String pending("pending");
inline constexpr QLatin1String status("status");
/// Whether the change's rollout is complete.
inline constexpr QLatin1String rolloutComplete("inForce");

// Fields of the roster's value.
inline constexpr QLatin1String nodes("nodes");
inline constexpr QLatin1String previousNodes("previous");
inline constexpr QLatin1String departed("gone");
inline constexpr QLatin1String link("link");
inline constexpr QLatin1String httpAddress("http");
inline constexpr QLatin1String zone("zone");

}  // namespace corkward::control::fields
