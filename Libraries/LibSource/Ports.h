// Interfaces to the platform's transactional table and object store. They are asynchronous functions, so code
// that uses them needs no sockets and tests can supply the responses.
//
// Every result tells whether the request took effect. A value: it did. Unavailable, Refused, Conflict,
// TooLarge or InvalidInput: it did not. Timeout: unknown, and it may still take effect later.
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

    // Null if the attribute is absent or has the other type.
    const std::string *text(const std::string &name) const;
    const std::uint64_t *number(const std::string &name) const;

    bool operator==(const Row &) const = default;
};

// Condition on the existing row for a put to take effect. Any one of the alternatives suffices; without any,
// the put is unconditional.
struct PutCondition
{
    bool absent = false;           // There is no row.
    std::vector<Attributes> anyOf; // The row has all attributes of one of these sets, with these values.

    bool unconditional() const { return !this->absent && this->anyOf.empty(); }
    bool matches(const std::optional<Row> &existing) const;

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

// The outcome of one put of a transaction.
enum class PutOutcome : std::uint8_t {
    Applied,
    NotApplied,      // Cancelled because of another put; may be sent again.
    ConditionFailed, // The put's own condition did not hold.
};

// Either Applied for every put, or a cancelled transaction with at least one ConditionFailed or NotApplied.
using TransactionResult = std::vector<PutOutcome>;
using TransactionCallback = std::function<void(Result<TransactionResult>)>;

// DynamoDB takes at most 100 items in one transaction.
inline constexpr std::size_t maximumTransactionPuts = 100;

struct TablePort
{
    std::function<void(const RowKey &, RowCallback)> get; // Strongly consistent.
    // Conflict: the condition did not hold.
    std::function<void(const ConditionalPut &, WriteCallback)> putIf;
    // Either all puts take effect or none does.
    std::function<void(const std::vector<ConditionalPut> &, TransactionCallback)> transact;
    std::function<void(const QueryRequest &, RowsCallback)> query;
    std::function<void(const RowKey &, WriteCallback)> remove;
};

using BytesCallback = std::function<void(Result<ObjectBytes>)>;

struct ObjectPort
{
    std::function<void(const std::string &name, const ObjectBytes &, WriteCallback)> put;
    std::function<void(const std::string &name, BytesCallback)> get; // NotFound if it does not exist.
};

} // namespace Sagecrank
