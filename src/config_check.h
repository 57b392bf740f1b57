#pragma once

#include "eelgrassloft/work.h"

namespace eelgrassloft {

/// Severity of a finding.
enum class FindingSeverity : uint8_t {
    Error, ///< Hosts reject the configuration or ignore it, an entry can never take effect, or a value has no meaning.
    Warning, ///< The configuration takes effect as written, which is probably not what its author wants.
    Count
};

constexpr NameTable<FindingSeverity> nameTable(FindingSeverity)
{
    constexpr NameTable<FindingSeverity> table { "error", "warning" };
    static_assert(detail::isComplete<FindingSeverity>(table));
    return table;
}

/// Part of a configuration that a finding or a difference is about.
enum class ConfigSection : uint8_t {
    Configuration, ///< The configuration as a whole.
    Queues,
    Pools,
    Workspaces,
    Count
};

constexpr NameTable<ConfigSection> nameTable(ConfigSection)
{
    constexpr NameTable<ConfigSection> table { "configuration", "queues", "pools", "workspaces" };
    static_assert(detail::isComplete<ConfigSection>(table));
    return table;
}

/// What a check of a configuration can find. docs/OPERATIONS.md lists the kinds.
enum class ConfigFindingKind : uint8_t {
    Unreadable,
    NoVersion,
    OldVersion,
    UnnamedEntry,
    DuplicateName,
    DuplicateAddress,
    UnreachableQueue,
    UpperCaseHost,
    JobNameAsPrefix,
    CapturedJobNames,
    UnknownPool,
    UnusedPool,
    StandbyPoolInUse,
    NoAttempts,
    UnmeetableObjective,
    ShortStretch,
    NegativeTime,
    ShortTicket,
    SharedKey,
    UnusableKey,
    DuplicateKey,
    KeylessWorkspace,
    UnusedWorkspaces,
    InvalidWeight,
    PartialWeights,
    PartialQuota,
    SmallBodyLimit,
    Count
};

constexpr NameTable<ConfigFindingKind> nameTable(ConfigFindingKind)
{
    constexpr NameTable<ConfigFindingKind> table { "unreadable", "no-version", "old-version", "unnamed-entry", "duplicate-name",
        "duplicate-address", "unreachable-queue", "upper-case-host", "job-name-as-prefix", "captured-job-names", "unknown-pool",
        "unused-pool", "standby-pool-in-use", "no-attempts", "unmeetable-objective", "short-stretch", "negative-time", "short-ticket",
        "shared-key", "unusable-key", "duplicate-key", "keyless-workspace", "unused-workspaces", "invalid-weight", "partial-weights",
        "partial-quota", "small-body-limit" };
    static_assert(detail::isComplete<ConfigFindingKind>(table));
    return table;
}

constexpr FindingSeverity severityOf(ConfigFindingKind kind)
{
    switch (kind) {
    case ConfigFindingKind::UpperCaseHost:
    case ConfigFindingKind::CapturedJobNames:
    case ConfigFindingKind::UnusedPool:
    case ConfigFindingKind::StandbyPoolInUse:
    case ConfigFindingKind::NoAttempts:
    case ConfigFindingKind::UnmeetableObjective:
    case ConfigFindingKind::ShortStretch:
    case ConfigFindingKind::ShortTicket:
    case ConfigFindingKind::DuplicateKey:
    case ConfigFindingKind::KeylessWorkspace:
    case ConfigFindingKind::UnusedWorkspaces:
    case ConfigFindingKind::PartialWeights:
    case ConfigFindingKind::PartialQuota:
    case ConfigFindingKind::SmallBodyLimit:
        return FindingSeverity::Warning;
    default:
        return FindingSeverity::Error;
    }
}

/// A fault of a configuration, the entry that has it, and what to do about it.
struct ConfigFinding {
    ConfigFindingKind kind = ConfigFindingKind::Unreadable;
    ConfigSection section = ConfigSection::Configuration;
    size_t index = 0; ///< Of the entry in its section; 0 for the configuration as a whole.
    std::string entry; ///< Name of the entry; empty for the configuration as a whole.
    std::string message;
    std::string remedy;
};

enum class ConfigChangeKind : uint8_t {
    Added,
    Removed,
    Changed,
    Count
};

constexpr NameTable<ConfigChangeKind> nameTable(ConfigChangeKind)
{
    constexpr NameTable<ConfigChangeKind> table { "added", "removed", "changed" };
    static_assert(detail::isComplete<ConfigChangeKind>(table));
    return table;
}

/// A field with different values in two versions. A value that is not set is empty.
struct ConfigFieldChange {
    std::string field;
    std::string before;
    std::string after;

    friend bool operator==(const ConfigFieldChange&, const ConfigFieldChange&) = default;
};

/// An entry that differs between two versions. Entries are matched by name.
struct ConfigDifference {
    ConfigChangeKind change = ConfigChangeKind::Changed;
    ConfigSection section = ConfigSection::Configuration;
    std::string entry; ///< Empty for the limits of the configuration as a whole.
    std::vector<ConfigFieldChange> fields; ///< Only of changed entries.
    std::vector<std::string> addedKeys; ///< Masked.
    std::vector<std::string> removedKeys; ///< Masked.
};

/// Result of a check.
struct ConfigCheck {
    uint64_t version = 0;
    std::optional<uint64_t> versionInForce; ///< Nothing if the configuration was not compared.
    std::vector<ConfigFinding> findings;
    std::vector<ConfigDifference> differences;

    bool hasErrors() const;
};

/// First characters of a key, for output. Shows four characters at most, and at most half of the key.
std::string maskedKey(std::string_view key);

/// Checks a configuration by itself and, if `inForce` is not null, compares it with the one in force.
ConfigCheck checkConfig(const FleetConfig& config, const FleetConfig* inForce);

/// What differs between two versions. The version numbers themselves are not compared.
std::vector<ConfigDifference> configDifferences(const FleetConfig& before, const FleetConfig& after);

} // namespace eelgrassloft
