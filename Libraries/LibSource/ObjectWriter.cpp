// Bounded writing of objects: see ObjectWriter.h.
#include <LibSource/ObjectWriter.h>

#include <memory>

namespace Sagecrank {

namespace {

// At 5 ms a write, 8 under way are 1,600 writes a second at most, and the platform's own limit slows the
// rest.
constexpr std::size_t maximumUnderWay = 8;

class ObjectRun : public std::enable_shared_from_this<ObjectRun>
{
public:
    ObjectRun(ObjectPort port, Later laterHook, RetryPlan retryPlan, NamedObjects objects, WriteCallback done)
        : objectPort(std::move(port))
        , later(std::move(laterHook))
        , plan(retryPlan)
        , remaining(std::move(objects))
        , callback(std::move(done))
    {
    }

    void next()
    {
        while (this->underWay < maximumUnderWay && !this->remaining.empty() && !this->failure)
            this->write(this->remaining.extract(this->remaining.begin()));
        if (this->underWay > 0 || !this->callback)
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
        ++this->underWay;
        const auto shared = std::make_shared<NamedObjects::node_type>(std::move(object));
        const auto put = [self = this->shared_from_this(), shared](WriteCallback answer) {
            self->objectPort.put(shared->key(), shared->mapped(), std::move(answer));
        };
        withRetries<void>(this->plan, this->later, put,
                          [self = this->shared_from_this()](Result<void> result) {
                              --self->underWay;
                              if (!result && !self->failure)
                                  self->failure = result.assume_error();
                              self->next();
                          });
    }

    const ObjectPort objectPort;
    const Later later;
    const RetryPlan plan;
    NamedObjects remaining;
    WriteCallback callback; // Empty once it has been called.
    std::size_t underWay = 0;
    std::optional<Error> failure;
};

} // namespace

void writeObjects(const ObjectPort &objects, const Later &later, RetryPlan plan, NamedObjects all,
                  WriteCallback callback)
{
    std::make_shared<ObjectRun>(objects, later, plan, std::move(all), std::move(callback))->next();
}

} // namespace Sagecrank
