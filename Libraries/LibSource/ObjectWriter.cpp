// Bounded writing of objects: see ObjectWriter.h.
#include <LibSource/ObjectWriter.h>

#include <memory>

namespace Sagecrank {

namespace {

// At 5 ms a write, 8 under way are 1,600 writes a second at most, and the platform's own limit slows the
// rest.
constexpr std::size_t maximumInFlightWrites = 8;

class ObjectWriteOperation : public std::enable_shared_from_this<ObjectWriteOperation>
{
public:
    ObjectWriteOperation(ObjectPort port, Scheduler schedulerHook, RetryPolicy retryPolicy,
                         NamedObjects objects, WriteCallback done)
        : objectPort(std::move(port))
        , later(std::move(schedulerHook))
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
        const auto put = [self = this->shared_from_this(), shared](WriteCallback answer) {
            self->objectPort.put(shared->key(), shared->mapped(), std::move(answer));
        };
        withRetries<void>(this->policy, this->later, put,
                          [self = this->shared_from_this()](Result<void> result) {
                              --self->inFlight;
                              if (!result && !self->failure)
                                  self->failure = result.assume_error();
                              self->next();
                          });
    }

    const ObjectPort objectPort;
    const Scheduler later;
    const RetryPolicy policy;
    NamedObjects remaining;
    WriteCallback callback; // Empty once it has been called.
    std::size_t inFlight = 0;
    std::optional<Error> failure;
};

} // namespace

void writeObjects(const ObjectPort &objects, const Scheduler &later, RetryPolicy policy, NamedObjects all,
                  WriteCallback callback)
{
    std::make_shared<ObjectWriteOperation>(objects, later, policy, std::move(all), std::move(callback))
        ->next();
}

} // namespace Sagecrank
