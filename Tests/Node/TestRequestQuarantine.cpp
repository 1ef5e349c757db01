// Notices that nodes exchange about requests that crash upstreams, and which requests are refused because of
// them.
#include <Node/Gate/RequestFingerprint.h>
#include <Node/Gate/RequestQuarantine.h>

#include <Support/TableTest.h>

#include <algorithm>
#include <map>
#include <utility>

using namespace Sagecrank;

namespace {

const Instant start = SteadyClock::now();

// A single node that receives its own notices.
class QuarantineFixture
{
public:
    void crash(const CallRequest &request)
    {
        this->hooks.reportCrash(fingerprintsOf(request));
        this->deliver();
    }

    void answer(const CallRequest &request)
    {
        this->hooks.reportAnswer(request);
        this->deliver();
    }

    bool refuses(const CallRequest &request) const
    {
        return this->hooks.remainingQuarantine(request).has_value();
    }

    RcuThread thread;
    Duration elapsed{}; // Time since `start`.
    std::uint64_t lastCrash = 0;
    std::vector<Notice> published; // Published notices that are not delivered yet.
    std::map<std::pair<std::uint64_t, std::uint64_t>, Notice> notices;
    std::size_t refused = 0;
    std::size_t released = 0;
    RequestQuarantine quarantine{
        {[this](const Notice &notice) { this->published.push_back(notice); },
         [](const std::vector<Notice> &) {}, [this](RequestFingerprint) { ++this->refused; },
         [this](RequestFingerprint) { ++this->released; }, [this] { return ++this->lastCrash; }}};
    QuarantineHooks hooks = this->quarantine.requestHooks();

private:
    void deliver()
    {
        for (const Notice &notice : this->published) {
            Notice &held = this->notices.try_emplace({notice.subject, notice.source}, notice).first->second;
            held.state = std::max(held.state, notice.state);
        }
        this->published.clear();
        std::vector<Notice> all;
        for (const auto &[key, notice] : this->notices)
            all.push_back(notice);
        this->quarantine.update(start + this->elapsed, all);
    }
};

CallRequest requestOf(const std::string &target, const std::string &body = "",
                      const std::string &credentials = "key-1")
{
    CallRequest request;
    request.method = "POST";
    request.target = target;
    request.headers = {{"Host", "booking.example"}, {"Authorization", credentials}};
    request.body = body;
    return request;
}

struct RequestRow
{
    const char *what;
    CallRequest again;
    bool refused;
};

const RequestRow requestRows[] = {
    {"the same", requestOf("/tours/9", "two seats"), true},
    {"another query", requestOf("/tours/9?try=2", "two seats"), true},
    {"another path", requestOf("/tours/8", "two seats"), false},
    {"another body", requestOf("/tours/9", "three seats"), false},
    {"another client account", requestOf("/tours/9", "two seats", "key-2"), false},
};

} // namespace

// The caller may retry the request through any node; other requests must not be refused with it.
TABLE_TEST(requestQuarantine, refusesOnlyTheSameRequest, requestRows)
{
    QuarantineFixture fixture;
    for (std::size_t crash = 0; crash < crashesToQuarantine; ++crash) {
        cr_assert(!fixture.refuses(requestOf("/tours/9", "two seats")));
        fixture.crash(requestOf("/tours/9", "two seats"));
    }
    cr_assert(fixture.refused == 1);
    cr_assert(fixture.refuses(row.again) == row.refused, "%s", row.what);
}

// An answer clears a request that only ran next to the one that crashed the upstream.
Test(requestQuarantine, answerClearsTheRequest)
{
    QuarantineFixture fixture;
    fixture.crash(requestOf("/tours/9"));
    fixture.crash(requestOf("/tours/9"));
    fixture.answer(requestOf("/tours/9"));
    fixture.elapsed = 2 * recentAnswerWindow;
    fixture.crash(requestOf("/tours/9"));
    cr_assert(!fixture.refuses(requestOf("/tours/9")));
    fixture.crash(requestOf("/tours/9"));
    fixture.crash(requestOf("/tours/9"));
    cr_assert(fixture.refuses(requestOf("/tours/9")));
    fixture.answer(requestOf("/tours/9"));
    cr_assert(!fixture.refuses(requestOf("/tours/9")));
    cr_assert(fixture.refused == 1 && fixture.released == 1);
}

// A request that many callers send is running at every crash; once it was refused everywhere, no answer could
// clear it.
Test(requestQuarantine, recentlyAnsweredRequestIsNotRefused)
{
    QuarantineFixture fixture;
    fixture.answer(requestOf("/tours"));
    for (std::size_t crash = 0; crash < crashesToQuarantine; ++crash)
        fixture.crash(requestOf("/tours"));
    cr_assert(!fixture.refuses(requestOf("/tours")));
}

// One query of a search path crashes upstreams, and all other queries are served.
Test(requestQuarantine, servedPathIsRefusedOnlyForCrashingQuery)
{
    QuarantineFixture fixture;
    for (std::size_t crash = 0; crash < crashesToQuarantine; ++crash) {
        fixture.crash(requestOf("/search?q=crashing"));
        fixture.answer(requestOf("/search?q=castle"));
    }
    cr_assert(fixture.refuses(requestOf("/search?q=crashing")));
    cr_assert(!fixture.refuses(requestOf("/search?q=castle")));
}

// A newer node sends states that this node does not know.
Test(requestQuarantine, unknownStatesAreIgnored)
{
    QuarantineFixture fixture;
    const RequestFingerprint request = fingerprintsOf(requestOf("/tours/9"))[0];
    for (std::uint64_t crash = 0; crash < crashesToQuarantine; ++crash)
        fixture.published.push_back({request, crash, 9, 600});
    fixture.answer(requestOf("/other"));
    cr_assert(!fixture.refuses(requestOf("/tours/9")));
}
