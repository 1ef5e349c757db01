// Implements writing objects with bounded concurrency; see ObjectWriter.h.
#include <LibSource/ObjectWriter.h>

#include <memory>

namespace Sagecrank {

namespace {

// At 5 ms per write, 8 concurrent writes are at most 1,600 per second; the platform's own limit throttles
// them further.
constexpr std::size_t maximumInFlightWrites = 8;

class ObjectWriteOperation : public std::enable_shared_from_this<ObjectWriteOperation>
{
public:
    ObjectWriteOperation(ObjectPort port, Scheduler schedulerHook, RetryPolicy retryPolicy,
                         NamedObjects objects, WriteCallback done)
        : objectPort(std::move(port))
        , scheduler(std::move(schedulerHook))
        , policy(retryPolicy)
        , remaining(std::move(objects))
        , callback(std::move(done))
    {
    }

    void next()
    {
        while (this->inFlight < maximumInFlightWrites && !this->remaining.empty() && !this->failure)
            this->write(this->remaining.extract(this->remaining.begin()));
        if (this->inFlight > 0 || !this->callback)
            return;
        const WriteCallback done = std::move(this->callback);
        this->callback = nullptr;
        if (this->failure)
            return done(*this->failure);
        done(success());
    }

private:
    void write(NamedObjects::node_type object)
    {
        ++this->inFlight;
        const auto shared = std::make_shared<NamedObjects::node_type>(std::move(object));
        const auto put = [self = this->shared_from_this(), shared](WriteCallback onWritten) {
            self->objectPort.put(shared->key(), shared->mapped(), std::move(onWritten));
        };
        withRetries<void>(this->policy, this->scheduler, put,
                          [self = this->shared_from_this()](Result<void> result) {
                              --self->inFlight;
                              if (!result && !self->failure)
                                  self->failure = result.assume_error();
                              self->next();
                          });
    }

    const ObjectPort objectPort;
    const Scheduler scheduler;
    const RetryPolicy policy;
    NamedObjects remaining;
    WriteCallback callback; // Empty after it has been invoked.
    std::size_t inFlight = 0;
    std::optional<Error> failure;
};

} // namespace

void writeObjects(const ObjectPort &objects, const Scheduler &scheduler, RetryPolicy policy, NamedObjects all,
                  WriteCallback callback)
{
    std::make_shared<ObjectWriteOperation>(objects, scheduler, policy, std::move(all), std::move(callback))
        ->next();
}

} // namespace Sagecrank
