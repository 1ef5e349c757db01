// Implements the platform client; see PlatformClient.h.
#include <LibPlatform/PlatformClient.h>
#include <LibPlatform/TableProtocol.h>

#include <boost/asio/post.hpp>

#include <deque>

namespace Sagecrank {

namespace {

constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusNotFound = 404;

Error objectError(const HttpResponse &response, const std::string &name)
{
    constexpr auto step = "use object store";
    if (response.status == statusNotFound)
        return makeError(ErrorKind::NotFound, step, name, "no such object");
    // Objects are named by content or publish id and written as a whole, so a write of unknown effect can be
    // repeated.
    return makeError(ErrorKind::Timeout, step, name, "answered status " + std::to_string(response.status));
}

} // namespace

class PlatformClient::Requests : public std::enable_shared_from_this<Requests>
{
public:
    using Done = std::function<void(Result<HttpResponse>)>;

    Requests(boost::asio::io_context &context, PlatformClientSettings settings)
        : context(context)
        , settings(std::move(settings))
        , client(context,
                 HttpClientSettings{this->settings.maximumInFlight, maximumObjectBytes, Milliseconds(30000)})
    {
    }

    void table(const std::string &operation, std::string body, Done done)
    {
        HttpRequest request{"POST", "/", {}, std::move(body)};
        request.headers.push_back({"Content-Type", "application/x-amz-json-1.0"});
        request.headers.push_back({"X-Amz-Target", "DynamoDB_20120810." + operation});
        this->enqueue(this->settings.table, std::move(request), std::move(done));
    }

    void object(const std::string &method, const std::string &name, std::string body, Done done)
    {
        HttpRequest request{method, "/" + this->settings.bucket + "/" + name, {}, std::move(body)};
        this->enqueue(this->settings.objects, std::move(request), std::move(done));
    }

    void stop() { this->stopped = true; }

    const std::string &tableName() const { return this->settings.tableName; }

    PlatformCounters counters;

private:
    struct QueuedRequest
    {
        std::string address;
        HttpRequest request;
        Done done;
        Instant expires;
    };

    void enqueue(const std::string &address, HttpRequest request, Done done)
    {
        const Instant expires = SteadyClock::now() + this->settings.requestTimeout;
        QueuedRequest next{address, std::move(request), std::move(done), expires};
        if (this->stopped || this->queue.size() >= this->settings.maximumQueued)
            return this->reject(std::move(next));
        this->queue.push_back(std::move(next));
        this->sendQueued();
    }

    // A request that is sent too late gets no response in time and leaves a write of unknown effect. This
    // leaves the platform a tenth of the timeout to process a request.
    Duration minimumTimeToSend() const { return this->settings.requestTimeout / 10; }

    // Posts the callback, so that the caller is not re-entered from within its call of the port.
    void reject(QueuedRequest rejected)
    {
        ++this->counters.notSent;
        boost::asio::post(this->context, [rejected = std::move(rejected)] {
            rejected.done(makeError(ErrorKind::Unavailable, "send request", rejected.address,
                                    "the request queue is full or the request timed out in it"));
        });
    }

    void sendQueued()
    {
        while (!this->queue.empty() && this->inFlight < this->settings.maximumInFlight) {
            QueuedRequest next = std::move(this->queue.front());
            this->queue.pop_front();
            const Instant now = SteadyClock::now();
            if (this->stopped || now + this->minimumTimeToSend() >= next.expires)
                this->reject(std::move(next));
            else
                this->send(std::move(next), now);
        }
    }

    void send(QueuedRequest next, Instant now)
    {
        ++this->inFlight;
        const Duration left = next.expires - now;
        const auto finish = [self = this->shared_from_this(),
                             done = std::move(next.done)](const HttpFailure *failure, HttpResponse response) {
            --self->inFlight;
            if (failure == nullptr) {
                done(std::move(response));
            } else {
                Error error = failure->error;
                error.kind = failure->mayHaveBeenSent ? ErrorKind::Timeout : ErrorKind::Unavailable;
                self->counters.notSent += failure->mayHaveBeenSent ? 0 : 1;
                done(std::move(error));
            }
            self->sendQueued();
        };
        this->client.send(next.address, std::move(next.request), left, finish);
    }

    boost::asio::io_context &context;
    const PlatformClientSettings settings;
    HttpClient client;
    std::deque<QueuedRequest> queue; // At most maximumQueued.
    std::uint32_t inFlight = 0;      // At most maximumInFlight.
    bool stopped = false;
};

PlatformClient::PlatformClient(boost::asio::io_context &context, PlatformClientSettings settings)
    : requests(std::make_shared<Requests>(context, std::move(settings)))
{
}

PlatformClient::~PlatformClient()
{
    this->requests->stop();
}

TablePort PlatformClient::tablePort()
{
    TablePort port;
    port.get = [requests = this->requests](const RowKey &key, RowCallback callback) {
        ++requests->counters.tableReads;
        requests->table("GetItem", TableProtocol::encodeGet(requests->tableName(), key),
                        [callback = std::move(callback)](Result<HttpResponse> response) {
                            if (!response)
                                return callback(std::move(response).assume_error());
                            callback(TableProtocol::parseGetResponse(response.assume_value()));
                        });
    };
    port.query = [requests = this->requests](const QueryRequest &query, RowsCallback callback) {
        ++requests->counters.tableReads;
        requests->table("Query", TableProtocol::encodeQuery(requests->tableName(), query),
                        [callback = std::move(callback)](Result<HttpResponse> response) {
                            if (!response)
                                return callback(std::move(response).assume_error());
                            callback(TableProtocol::parseQueryResponse(response.assume_value()));
                        });
    };
    const auto write = [requests = this->requests](const char *operation, std::string body,
                                                   WriteCallback callback) {
        ++requests->counters.tableWrites;
        ++requests->counters.tableWriteRequests;
        requests->table(operation, std::move(body),
                        [callback = std::move(callback)](Result<HttpResponse> response) {
                            if (!response)
                                return callback(std::move(response).assume_error());
                            callback(TableProtocol::parseWriteResponse(response.assume_value()));
                        });
    };
    port.putIf = [write, requests = this->requests](const ConditionalPut &put, WriteCallback callback) {
        write("PutItem", TableProtocol::encodePut(requests->tableName(), put), std::move(callback));
    };
    port.remove = [write, requests = this->requests](const RowKey &key, WriteCallback callback) {
        write("DeleteItem", TableProtocol::encodeDelete(requests->tableName(), key), std::move(callback));
    };
    port.transact = [requests = this->requests](const std::vector<ConditionalPut> &puts,
                                                TransactionCallback callback) {
        requests->counters.tableWrites += puts.size();
        ++requests->counters.tableWriteRequests;
        requests->table("TransactWriteItems", TableProtocol::encodeTransaction(requests->tableName(), puts),
                        [count = puts.size(), callback = std::move(callback)](Result<HttpResponse> response) {
                            if (!response)
                                return callback(std::move(response).assume_error());
                            callback(TableProtocol::parseTransactionResponse(response.assume_value(), count));
                        });
    };
    return port;
}

ObjectPort PlatformClient::objectPort()
{
    ObjectPort port;
    port.put = [requests = this->requests](const std::string &name, const ObjectBytes &bytes,
                                           WriteCallback callback) {
        ++requests->counters.objectWrites;
        std::string body(reinterpret_cast<const char *>(bytes.data()), bytes.size());
        requests->object("PUT", name, std::move(body),
                         [name, callback = std::move(callback)](Result<HttpResponse> response) {
                             if (!response)
                                 return callback(std::move(response).assume_error());
                             if (response.assume_value().status != statusOk)
                                 return callback(objectError(response.assume_value(), name));
                             callback(success());
                         });
    };
    port.get = [requests = this->requests](const std::string &name, BytesCallback callback) {
        ++requests->counters.objectReads;
        requests->object("GET", name, "",
                         [name, callback = std::move(callback)](Result<HttpResponse> response) {
                             if (!response)
                                 return callback(std::move(response).assume_error());
                             const HttpResponse &received = response.assume_value();
                             if (received.status != statusOk)
                                 return callback(objectError(received, name));
                             const auto *first = reinterpret_cast<const std::byte *>(received.body.data());
                             callback(ObjectBytes(first, first + received.body.size()));
                         });
    };
    return port;
}

PlatformCounters PlatformClient::counters() const
{
    return this->requests->counters;
}

} // namespace Sagecrank
