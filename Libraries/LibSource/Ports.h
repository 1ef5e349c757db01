// The platform as the parts that decide see it: a transactional table and an object store behind hooks. The
// hooks are asynchronous; a part that uses them runs without sockets, and a test answers them by hand.
//
// Every answer says what took effect. A value: it did. Unavailable, Refused, Conflict, TooLarge or
// InvalidInput: nothing did. Timeout: not known, and it may still take effect after the answer was given up.
#pragma once

#include <LibConfig/Encoding.h>
#include <LibCore/Error.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Sagecrank {

struct RowKey
{
    std::string partition; // Attribute "pk".
    std::string sort;      // Attribute "sk".

    bool operator==(const RowKey &) const = default;
    bool operator<(const RowKey &other) const
    {
        return this->partition != other.partition ? this->partition < other.partition
                                                  : this->sort < other.sort;
    }
};

using Attribute = std::variant<std::string, std::uint64_t>;
using Attributes = std::map<std::string, Attribute>; // Without "pk" and "sk".

struct Row
{
    RowKey key;
    Attributes attributes;

    // Null when the attribute is absent or of the other type.
    const std::string *text(const std::string &name) const;
    const std::uint64_t *number(const std::string &name) const;

    bool operator==(const Row &) const = default;
};

// What must hold of the row that stands under the key for a put to take effect. One of them is enough; with
// none, the put is unconditional.
struct PutCondition
{
    bool absent = false;           // No row stands there.
    std::vector<Attributes> anyOf; // Every attribute of one of these sets has the value given.

    bool unconditional() const { return !this->absent && this->anyOf.empty(); }
    bool matches(const std::optional<Row> &existing) const; // For stand-ins of a table.

    bool operator==(const PutCondition &) const = default;
};

struct ConditionalPut
{
    Row row; // Replaces the whole row.
    PutCondition condition;
};

struct QueryRequest
{
    std::string partition;
    bool newestFirst = false; // By sort key.
    std::uint32_t limit = 100;
};

using RowCallback = std::function<void(Result<std::optional<Row>>)>;
using RowsCallback = std::function<void(Result<std::vector<Row>>)>;
using WriteCallback = std::function<void(Result<void>)>;

// What became of each put of a transaction that took no effect.
enum class PutOutcome : std::uint8_t {
    Applied,
    NotApplied,      // Another put's failure cancelled it; it may be sent again.
    ConditionFailed, // Its own condition did not hold.
};

// Applied for all, or a cancelled transaction with at least one ConditionFailed or NotApplied.
using TransactionResult = std::vector<PutOutcome>;
using TransactionCallback = std::function<void(Result<TransactionResult>)>;

// DynamoDB takes at most 100 items in one transaction.
inline constexpr std::size_t maximumTransactionPuts = 100;

struct TablePort
{
    std::function<void(const RowKey &, RowCallback)> get; // A consistent read.
    // Conflict: the condition did not hold.
    std::function<void(const ConditionalPut &, WriteCallback)> putIf;
    // All puts take effect or none.
    std::function<void(const std::vector<ConditionalPut> &, TransactionCallback)> transact;
    std::function<void(const QueryRequest &, RowsCallback)> query;
    std::function<void(const RowKey &, WriteCallback)> remove;
};

using BytesCallback = std::function<void(Result<ObjectBytes>)>;

struct ObjectPort
{
    std::function<void(const std::string &name, const ObjectBytes &, WriteCallback)> put;
    std::function<void(const std::string &name, BytesCallback)> get; // NotFound when there is none.
};

} // namespace Sagecrank
