// Reads and writes the rows of roll-outs.
#include <LibSource/TableRollouts.h>

#include <utility>

namespace Sagecrank {

namespace {

constexpr const char *rolloutPartition = "rollouts";
constexpr const char *targetAttribute = "target";
constexpr const char *durationAttribute = "duration_ms";
constexpr const char *sequenceAttribute = "sequence";
constexpr const char *stateAttribute = "state";
constexpr const char *operatorAttribute = "operator";

// What a gossip message holds.
constexpr std::size_t maximumNameLength = 64;
constexpr std::uint64_t maximumDurationMilliseconds = std::uint64_t{24} * 3600 * 1000;
constexpr std::uint32_t maximumOrders = 1000;

RowKey keyOf(const std::string &cluster)
{
    return {rolloutPartition, cluster};
}

bool isName(const std::string *text)
{
    return text != nullptr && !text->empty() && text->size() <= maximumNameLength;
}

std::string stateText(RolloutOrderState state)
{
    return std::string(rolloutOrderStateNames.name(state));
}

PutCondition unchanged(const std::optional<RolloutRow> &row)
{
    PutCondition condition;
    if (row)
        condition.anyOf.push_back(
            {{sequenceAttribute, row->order.sequence}, {stateAttribute, stateText(row->state)}});
    else
        condition.absent = true;
    return condition;
}

Result<std::optional<RolloutRow>> parseOptional(Result<std::optional<Row>> row)
{
    const std::optional<Row> found = TRY(std::move(row));
    if (!found)
        return std::optional<RolloutRow>();
    return std::optional<RolloutRow>(TRY(parseRollout(*found)));
}

std::optional<RolloutStage> recordedEnd(RolloutOrderState state)
{
    switch (state) {
    case RolloutOrderState::Completed:
        return RolloutStage::Completed;
    case RolloutOrderState::RolledBack:
        return RolloutStage::RolledBack;
    case RolloutOrderState::Running:
    case RolloutOrderState::Aborted:
        break;
    }
    return std::nullopt;
}

} // namespace

Row encodeRollout(const RolloutRow &rollout)
{
    const auto duration = static_cast<std::uint64_t>(wholeMilliseconds(rollout.order.duration));
    return {keyOf(rollout.order.cluster),
            {{targetAttribute, rollout.order.target},
             {durationAttribute, duration},
             {sequenceAttribute, rollout.order.sequence},
             {stateAttribute, stateText(rollout.state)},
             {operatorAttribute, rollout.operatorName}}};
}

Result<RolloutRow> parseRollout(const Row &row)
{
    const std::string *target = row.text(targetAttribute);
    const std::uint64_t *duration = row.number(durationAttribute);
    const std::uint64_t *sequence = row.number(sequenceAttribute);
    const std::string *stateName = row.text(stateAttribute);
    const std::string *operatorName = row.text(operatorAttribute);
    const auto state = stateName == nullptr ? std::nullopt : rolloutOrderStateNames.value(*stateName);
    const bool valid = isName(&row.key.sort) && isName(target) && duration != nullptr && *duration > 0
                       && *duration <= maximumDurationMilliseconds && sequence != nullptr && state;
    if (!valid)
        return makeError(ErrorKind::InvalidInput, "read roll-out order", row.key.sort,
                         "a field is missing or out of range");
    RolloutRow rollout;
    rollout.order = {row.key.sort, *target, Milliseconds(*duration), *sequence};
    rollout.state = *state;
    rollout.operatorName = operatorName == nullptr ? std::string() : *operatorName;
    return rollout;
}

void RolloutOrders::start(const RolloutOrder &order, const std::string &operatorName,
                          const RolloutRowCallback &callback) const
{
    this->table.get(keyOf(order.cluster), [orders = *this, order, operatorName,
                                           callback](Result<std::optional<Row>> row) {
        const Result<std::optional<RolloutRow>> current = parseOptional(std::move(row));
        if (!current)
            return callback(current.error());
        const std::optional<RolloutRow> &last = current.value();
        if (last && last->state == RolloutOrderState::Running)
            return callback(makeError(ErrorKind::Conflict, "start roll-out", order.cluster,
                                      "one to " + last->order.target + " runs; abort it first"));
        RolloutRow next{order, RolloutOrderState::Running, operatorName};
        next.order.sequence = last ? last->order.sequence + 1 : 1;
        const Result<RolloutRow> checked = parseRollout(encodeRollout(next));
        if (!checked)
            return callback(checked.error());
        orders.replace(last, next, callback);
    });
}

void RolloutOrders::abort(const std::string &cluster, const std::string &operatorName,
                          const RolloutRowCallback &callback) const
{
    this->table.get(keyOf(cluster), [orders = *this, cluster, operatorName,
                                     callback](Result<std::optional<Row>> row) {
        const Result<std::optional<RolloutRow>> current = parseOptional(std::move(row));
        if (!current)
            return callback(current.error());
        const std::optional<RolloutRow> &last = current.value();
        if (!last)
            return callback(makeError(ErrorKind::NotFound, "abort roll-out", cluster, "there is no order"));
        if (last->state != RolloutOrderState::Running)
            return callback(makeError(ErrorKind::Conflict, "abort roll-out", cluster,
                                      "it has ended: " + stateText(last->state)));
        orders.replace(last, {last->order, RolloutOrderState::Aborted, operatorName}, callback);
    });
}

void RolloutOrders::replace(const std::optional<RolloutRow> &current, const RolloutRow &next,
                            const RolloutRowCallback &callback) const
{
    this->table.putIf({encodeRollout(next), unchanged(current)}, [next, callback](Result<void> written) {
        if (!written)
            return callback(written.error());
        callback(next);
    });
}

void RolloutOrders::list(const RolloutRowsCallback &callback) const
{
    this->table.query({rolloutPartition, false, maximumOrders}, [callback](Result<std::vector<Row>> rows) {
        if (!rows)
            return callback(rows.assume_error());
        std::vector<RolloutRow> rollouts;
        for (const Row &row : rows.assume_value()) {
            Result<RolloutRow> rollout = parseRollout(row);
            if (rollout)
                rollouts.push_back(std::move(rollout).assume_value());
        }
        callback(std::move(rollouts));
    });
}

void TableRollouts::refresh()
{
    if (!this->listener || this->reading)
        return;
    this->reading = true;
    this->table.query({rolloutPartition, false, maximumOrders},
                      [self = this->shared_from_this()](const Result<std::vector<Row>> &rows) {
                          self->reading = false;
                          if (!rows)
                              return;
                          for (const Row &row : rows.value()) {
                              const Result<RolloutRow> rollout = parseRollout(row);
                              if (!rollout)
                                  self->listener(rollout.error());
                              else if (rollout.value().state == RolloutOrderState::Running)
                                  self->listener(RolloutOrderChange{row.key.sort, rollout.value().order});
                              else if (rollout.value().state == RolloutOrderState::Aborted)
                                  self->listener(RolloutOrderChange{row.key.sort, std::nullopt});
                          }
                      });
}

RolloutPort TableRollouts::port()
{
    RolloutPort port;
    port.setOrderListener = [self = this->shared_from_this()](RolloutOrderListener orderListener) {
        self->listener = std::move(orderListener);
    };
    port.record = [self = this->shared_from_this()](const RolloutOrder &order, RolloutStage stage,
                                                    const RolloutStageCallback &callback) {
        self->record(order, stage, callback);
    };
    return port;
}

// The write takes effect only while the row holds this order and no end.
void TableRollouts::record(const RolloutOrder &order, RolloutStage stage,
                           const RolloutStageCallback &callback) const
{
    this->table.get(
        keyOf(order.cluster), [table = this->table, order, stage, callback](Result<std::optional<Row>> row) {
            const Result<std::optional<RolloutRow>> current = parseOptional(std::move(row));
            if (!current)
                return callback(current.error());
            const std::optional<RolloutRow> &last = current.value();
            if (!last || last->order.sequence != order.sequence)
                return callback(makeError(ErrorKind::Conflict, "record roll-out", order.cluster,
                                          "the order no longer stands"));
            if (const std::optional<RolloutStage> end = recordedEnd(last->state))
                return callback(*end);
            if (!isRecordedEnd(stage))
                return callback(stage); // The row says that it runs.
            RolloutRow next = *last;
            next.state = stage == RolloutStage::Completed ? RolloutOrderState::Completed
                                                          : RolloutOrderState::RolledBack;
            table.putIf({encodeRollout(next), unchanged(last)}, [stage, callback](Result<void> written) {
                if (!written)
                    return callback(written.error());
                callback(stage);
            });
        });
}

} // namespace Sagecrank
