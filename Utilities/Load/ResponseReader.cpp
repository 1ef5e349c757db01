// Implements ResponseReader.h with a Beast parser that stores only the headers of interest.
#include <Load/ResponseReader.h>

#include <boost/beast/http/basic_parser.hpp>

#include <charconv>
#include <optional>

namespace Sagecrank {

namespace http = boost::beast::http;
using boost::system::error_code;
using BeastView = boost::beast::string_view;

class ResponseReader::Parser
{
public:
    explicit Parser(Response &response)
        : response(response)
    {
    }

    void begin()
    {
        this->beastParser.emplace(this->response);
        this->beastParser->eager(true);
    }

    std::size_t put(std::string_view bytes, error_code &error)
    {
        return this->beastParser->put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    }

    bool done() const { return this->beastParser->is_done(); }
    bool keepAlive() const { return this->beastParser->keep_alive(); }

private:
    class BeastParser : public http::basic_parser<false>
    {
    public:
        explicit BeastParser(Response &response)
            : response(response)
        {
        }

    private:
        void on_request_impl(http::verb, BeastView, BeastView, int, error_code &) override {}
        void on_response_impl(int code, BeastView, int, error_code &) override
        {
            this->response.status = static_cast<unsigned>(code);
        }
        void on_field_impl(http::field, BeastView name, BeastView value, error_code &) override
        {
            constexpr std::size_t prefixLength = 10; // "Sagecrank-"
            if (name.size() <= prefixLength || (name[0] != 'S' && name[0] != 's'))
                return;
            const std::string_view text(value.data(), value.size());
            if (boost::beast::iequals(name, "Sagecrank-Outcome"))
                this->response.outcome = text;
            else if (boost::beast::iequals(name, "Sagecrank-Reason"))
                this->response.reason = text;
            else if (boost::beast::iequals(name, "Sagecrank-Call-Id"))
                this->response.callId = text;
            else if (boost::beast::iequals(name, "Sagecrank-Replayed"))
                this->response.replayed = text == "true";
            else if (boost::beast::iequals(name, "Sagecrank-Retry-After-Ms"))
                std::from_chars(text.data(), text.data() + text.size(),
                                this->response.retryAfterMilliseconds);
        }
        void on_header_impl(error_code &) override {}
        void on_body_init_impl(const boost::optional<std::uint64_t> &, error_code &) override {}
        std::size_t on_body_impl(BeastView body, error_code &) override
        {
            this->response.body.append(body.data(), body.size());
            return body.size();
        }
        void on_chunk_header_impl(std::uint64_t, BeastView, error_code &) override {}
        std::size_t on_chunk_body_impl(std::uint64_t, BeastView body, error_code &) override
        {
            this->response.body.append(body.data(), body.size());
            return body.size();
        }
        void on_finish_impl(error_code &) override {}

        Response &response;
    };

    Response &response;
    std::optional<BeastParser> beastParser;
};

ResponseReader::ResponseReader()
    : parser(std::make_unique<Parser>(this->currentResponse))
{
    this->reset();
}

ResponseReader::~ResponseReader() = default;

void ResponseReader::reset()
{
    this->currentResponse.status = 0;
    this->currentResponse.keepAlive = true;
    this->currentResponse.replayed = false;
    this->currentResponse.retryAfterMilliseconds = 0;
    this->currentResponse.outcome.clear();
    this->currentResponse.reason.clear();
    this->currentResponse.callId.clear();
    this->currentResponse.body.clear();
    this->pending.clear();
    this->parser->begin();
}

ReadProgress ResponseReader::feed(std::string_view bytes)
{
    if (!this->pending.empty()) {
        this->pending.append(bytes);
        bytes = this->pending;
    }
    while (!bytes.empty()) {
        error_code error;
        const std::size_t consumed = this->parser->put(bytes, error);
        bytes.remove_prefix(consumed);
        if (this->parser->done()) {
            this->currentResponse.keepAlive = this->parser->keepAlive();
            return bytes.empty() && !error ? ReadProgress::Complete : ReadProgress::Malformed;
        }
        if (error && error != http::error::need_more)
            return ReadProgress::Malformed;
        if (error == http::error::need_more || consumed == 0)
            break;
    }
    const std::string unparsed(bytes);
    this->pending = unparsed;
    return ReadProgress::Incomplete;
}

} // namespace Sagecrank
