// Connects the components of the control plane.
#include "ControlPlane.h"

#include "ControlGossip.h"
#include "ControlServer.h"
#include "TableExchangeClient.h"

#include <LibSpread/Rendezvous.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>

namespace Sagecrank {

namespace {

// Changes that arrive in one burst are published to the request threads as one view.
constexpr Duration viewDelay = Milliseconds(50);

// When a zone returns, changes arrive for about a minute. Copying 6,500 members and building a view of them
// takes 2.7 ms, which at 20 times a second is 5% of a core. A delay that grows with the number of members
// (180 ms at 6,500) limits this to 1.5% and is still short compared with the second that the announcement of
// a drain takes to spread.
constexpr Duration viewDelayPerMember = Microseconds(20);
constexpr Duration statusInterval = Milliseconds(1000);
constexpr Duration leavePollInterval = Milliseconds(100);

// Higher than in any earlier process with the same id as long as the host's clock moves forward. If the clock
// was set back, refutation corrects it; see Membership.
std::uint64_t firstIncarnation()
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(time).count());
}

Member makeSelf(const ControlSettings &settings)
{
    Member self;
    self.id = settings.id;
    self.incarnation = firstIncarnation();
    self.region = settings.region;
    self.zone = settings.zone;
    self.site = settings.site;
    self.gossipAddress = settings.gossipAddress;
    self.peerAddress = settings.peerAddress;
    self.controlAddress = settings.controlAddress;
    self.linkMbps = settings.linkMbps;
    return self;
}

MembershipSettings makeMembershipSettings(const ControlSettings &settings)
{
    MembershipSettings membership = settings.membership;
    membership.seeds = settings.seeds;
    return membership;
}

} // namespace

class ControlPlane::Impl
{
public:
    Impl(boost::asio::io_context &context, ControlSettings settings, TablePort table, VersionSource versions,
         ControlHooks hooks)
        : context(context)
        , settings(std::move(settings))
        , hooks(std::move(hooks))
        , viewTimer(context)
        , statusTimer(context)
        , leaveTimer(context)
        , gossip(context, makeMembershipSettings(this->settings), makeSelf(this->settings),
                 this->membershipHooks(), this->hooks.allowanceReceived, std::random_device{}())
        , follower(context, this->settings.id, this->settings.site, std::move(versions),
                   this->settings.follower, this->followerHooks(), std::random_device{}())
        , server(context, this->gossip.membership(), this->settings.linkMbps, std::random_device{}(),
                 [this](const PullRequest &request) { return this->follower.serve(request); })
        , introducers(context, this->settings.zone, this->settings.gossipAddress, std::move(table),
                      this->settings.introducers, this->introducerHooks(), std::random_device{}())
    {
    }

    Result<void> start()
    {
        TRY_VOID(this->server.start(this->settings.controlAddress));
        TRY_VOID(this->gossip.start(this->settings.gossipAddress));
        this->follower.start();
        this->introducers.start();
        this->publishView();
        this->refreshStatus();
        return success();
    }

    void stop()
    {
        this->gossip.stop();
        this->server.stop();
        this->follower.stop();
        this->introducers.stop();
        this->viewTimer.cancel();
        this->statusTimer.cancel();
    }

    void announceUpstream(const std::string &cluster, UpstreamState state, std::uint32_t slots,
                          const std::string &version)
    {
        this->gossip.membership().setUpstream(SteadyClock::now(), cluster, state, slots, version);
    }

    void announce(const Notice &notice) { this->gossip.membership().announce(SteadyClock::now(), notice); }

    void announce(const Bulletin &bulletin)
    {
        this->gossip.membership().announce(SteadyClock::now(), bulletin);
    }

    void sendReport(const std::string &memberId, const std::string &report)
    {
        this->gossip.membership().sendReport(memberId, report);
    }

    void announceStoreEra(std::uint64_t era) { this->gossip.membership().noteStoreEra(era); }

    void sendDatagram(const std::string &address, const std::string &bytes)
    {
        this->gossip.send(address, bytes);
    }

    void setHeadProof(const HeadProof &proof) { this->gossip.membership().setHeadProof(proof); }

    void storeRestored() { this->introducers.rewriteRow(); }

    void leave(std::function<void()> done)
    {
        this->gossip.membership().leave(SteadyClock::now());
        this->waitForLeave(std::move(done));
    }

    ControlStatus status() const
    {
        const std::lock_guard guard(this->statusMutex);
        return this->lastStatus;
    }

    boost::asio::io_context &context;
    std::atomic<bool> ready = false; // Never becomes false again.
    std::atomic<std::uint64_t> knownHead = 0;

private:
    MembershipHooks membershipHooks()
    {
        MembershipHooks made;
        made.memberChanged = [this](const Member &member) {
            if (this->hooks.memberChanged)
                this->hooks.memberChanged(member);
            this->scheduleViewUpdate();
        };
        made.noticesChanged = this->hooks.noticesChanged;
        made.bulletinReceived = this->hooks.bulletinReceived;
        made.reportReceived = this->hooks.reportReceived;
        made.headProofReceived = this->hooks.headProofReceived;
        made.headAdvanced = [this](const ConfigurationVersion &version) {
            this->knownHead = std::max(this->knownHead.load(), version.version);
            this->follower.versionAnnounced(version);
        };
        made.storeEraAdvanced = [this](std::uint64_t era) {
            if (this->hooks.storeEraReceived)
                this->hooks.storeEraReceived(era);
        };
        made.heldVersionAdvanced = [this](const Member &) { this->follower.pullIfNeeded(); };
        made.exchangeTables = [this](const Member &partner) { this->exchangeTablesWith(partner); };
        made.zoneRank = [this] { return this->rankInZone("tables"); };
        return made;
    }

    FollowerHooks followerHooks()
    {
        FollowerHooks made;
        made.offer = this->hooks.configurationOffered;
        made.headProven = this->hooks.headProven;
        made.headRead = [this](const ConfigurationVersion &head) {
            this->knownHead = std::max(this->knownHead.load(), head.version);
            this->gossip.membership().setConfiguration(this->follower.heldVersion(), head);
        };
        made.versionApplied = [this](std::uint64_t version) {
            this->gossip.membership().setConfiguration(version, this->gossip.membership().head());
            this->updateReady();
        };
        made.holders = [this](std::uint64_t version) { return this->holders(version); };
        made.zoneVersions = [this] { return this->zoneVersions(); };
        made.rank = [this] { return this->headPollRank(); };
        made.knowsPeers = [this] { return this->knowsPeers(); };
        made.knowsZone = [this] { return this->gossip.membership().knowsZone(); };
        made.sourceFailed = this->hooks.sourceFailed;
        made.sourceRecovered = this->hooks.sourceRecovered;
        made.hasView = [this] { return this->gossip.membership().hasView(); };
        made.failed = [this](const Error &error) {
            if (this->hooks.failed)
                this->hooks.failed(error);
        };
        return made;
    }

    IntroducerHooks introducerHooks()
    {
        IntroducerHooks made;
        made.rank = [this] { return this->rankInZone("introducer"); };
        made.knowsOthers = [this] { return this->knowsPeers(); };
        made.isIntroducer = [this] { this->follower.readHeadFirst(); };
        made.found = [this](const std::vector<std::string> &addresses, bool ownZone) {
            Membership &membership = this->gossip.membership();
            membership.addSeeds(SteadyClock::now(), addresses, ownZone);
            if (membership.members().presentCount() <= 1 || !this->hooks.introducerUnknown)
                return;
            const auto known = membership.membersAt(addresses);
            for (const std::string &address : addresses) {
                if (!known.contains(address))
                    this->hooks.introducerUnknown(address);
            }
        };
        return made;
    }

    void exchangeTablesWith(const Member &partner)
    {
        ++this->tableExchanges;
        exchangeTables(this->context, partner.controlAddress, this->gossip.membership(),
                       [this, partner](const Result<std::size_t> &records) {
                           this->tableExchangeEnded(partner, records);
                       });
    }

    void tableExchangeEnded(const Member &partner, const Result<std::size_t> &records)
    {
        this->tableExchangeFailures += records ? 0 : 1;
        this->gossip.membership().tableExchangeEnded(SteadyClock::now(), records.has_value(),
                                                     records ? records.value() : 0);
        if (this->hooks.tableExchanged)
            this->hooks.tableExchanged(partner, records);
    }

    bool knowsPeers() const { return this->gossip.membership().members().presentCount() > 1; }

    // Calls `visit` for each other node in the zone that is alive.
    template <typename Visitor>
    void forEachZonePeer(Visitor visit) const
    {
        const MemberTable &table = this->gossip.membership().members();
        for (const std::uint64_t idHash : table.zonePeers()) {
            const MemberRecord *record = table.find(idHash);
            if (record->member.state == MemberState::Alive)
                visit(record->member);
        }
    }

    std::string zoneRole(std::string_view role) const
    {
        return std::string(role) + "#" + this->settings.zone;
    }

    std::uint32_t rankInZone(std::string_view role) const
    {
        std::vector<std::string_view> others;
        this->forEachZonePeer([&](const Member &member) { others.push_back(member.id); });
        return rendezvousRank(this->zoneRole(role), this->settings.id, others);
    }

    std::uint32_t headPollRank() const
    {
        std::vector<PlatformReader> others;
        this->forEachZonePeer([&](const Member &member) { others.push_back({member.id, member.linkMbps}); });
        return platformReaderRank(this->zoneRole("head"), {this->settings.id, this->settings.linkMbps},
                                  others, this->settings.follower.poll.fastPollersPerZone);
    }

    std::vector<Holder> holders(std::uint64_t version) const
    {
        std::vector<Holder> list;
        this->gossip.membership().members().forEach([&](const MemberRecord &record) {
            const Member &member = record.member;
            const bool usable = member.state == MemberState::Alive && member.configurationVersion >= version
                                && member.site == this->settings.site && member.id != this->settings.id;
            if (usable && version != 0)
                list.push_back({member.id, member.controlAddress, member.zone == this->settings.zone});
        });
        return list;
    }

    // Only of peers that can serve this node, which are those of its site.
    std::vector<std::uint64_t> zoneVersions() const
    {
        std::vector<std::uint64_t> sameZone;
        std::vector<std::uint64_t> all;
        for (const Holder &holder : this->holders(1)) {
            const MemberRecord *record = this->gossip.membership().members().find(holder.id);
            all.push_back(record->member.configurationVersion);
            if (holder.sameZone)
                sameZone.push_back(record->member.configurationVersion);
        }
        return sameZone.empty() ? all : sameZone;
    }

    void updateReady()
    {
        if (this->follower.heldVersion() != 0 && this->gossip.membership().hasView())
            this->ready = true;
    }

    void scheduleViewUpdate()
    {
        if (this->viewPending)
            return;
        this->viewPending = true;
        const auto members = static_cast<std::int64_t>(this->gossip.membership().members().size());
        this->viewTimer.expires_after(viewDelay + viewDelayPerMember * members);
        this->viewTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                this->publishView();
        });
    }

    void publishView()
    {
        this->viewPending = false;
        if (this->hooks.membersChanged)
            this->hooks.membersChanged(this->gossip.membership().members().members());
    }

    void waitForLeave(std::function<void()> done)
    {
        if (this->gossip.membership().leaveComplete())
            return done();
        this->leaveTimer.expires_after(leavePollInterval);
        this->leaveTimer.async_wait(
            [this, done = std::move(done)](const boost::system::error_code &) { this->waitForLeave(done); });
    }

    void refreshStatus()
    {
        this->updateReady();
        ControlStatus status = this->collectStatus();
        {
            const std::lock_guard guard(this->statusMutex);
            this->lastStatus = status;
        }
        this->statusTimer.expires_after(statusInterval);
        this->statusTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                this->refreshStatus();
        });
    }

    ControlStatus collectStatus() const
    {
        const Membership &membership = this->gossip.membership();
        const FollowerCounters &follower = this->follower.counters();
        const VersionSourceCounters source = this->follower.sourceCounters();
        const ControlServerCounters &server = this->server.counters();
        ControlStatus status;
        membership.members().forEach([&](const MemberRecord &record) {
            ++status.membersByState[static_cast<std::size_t>(record.member.state)];
        });
        status.heldVersion = this->follower.heldVersion();
        status.headVersion = std::max(membership.head().version, this->follower.targetVersion().version);
        status.ready = this->ready;
        status.healthScore = membership.healthScore();
        status.headPollRank = this->headPollRank();
        status.gossip = membership.counters();
        status.gossipSendFailures = this->gossip.sendFailures();
        status.headReads = source.headReads;
        status.headReadFailures = follower.headReadFailures;
        status.sourceAge = this->follower.sourceAge();
        status.objectReads = source.objectReads;
        status.introducerReads = this->introducers.counters().reads;
        status.introducerWrites = this->introducers.counters().writes;
        status.peerPulls = follower.peerPulls;
        status.platformPulls = follower.platformPulls;
        status.pullFailures = follower.pullFailures;
        status.pulledBytes = follower.pulledBytes + source.readBytes;
        status.wholePulls = follower.wholePulls;
        status.refusedVersions = follower.refusedVersions;
        status.pullsServed = server.served;
        status.pullsRefused = server.refused;
        status.pullBytesServed = server.servedBytes;
        status.malformedRequests = server.malformed;
        status.tableExchanges = this->tableExchanges;
        status.tableExchangeFailures = this->tableExchangeFailures;
        status.tablesServed = server.tablesServed;
        status.tablesRefused = server.tablesRefused;
        status.tableBytesSent = server.tableBytesSent;
        return status;
    }

    ControlSettings settings;
    ControlHooks hooks;
    boost::asio::steady_timer viewTimer;
    boost::asio::steady_timer statusTimer;
    boost::asio::steady_timer leaveTimer;
    bool viewPending = false;
    std::uint64_t tableExchanges = 0; // Begun by this node.
    std::uint64_t tableExchangeFailures = 0;
    ControlGossip gossip;
    ControlFollower follower;
    ControlServer server;
    ControlIntroducers introducers;
    mutable std::mutex statusMutex;
    ControlStatus lastStatus; // Guarded by statusMutex.
};

ControlPlane::ControlPlane(boost::asio::io_context &context, ControlSettings settings, TablePort table,
                           VersionSource versions, ControlHooks hooks)
    : impl(std::make_unique<Impl>(context, std::move(settings), std::move(table), std::move(versions),
                                  std::move(hooks)))
{
}

ControlPlane::~ControlPlane() = default;

Result<void> ControlPlane::start()
{
    return this->impl->start();
}

void ControlPlane::announceUpstream(const std::string &cluster, UpstreamState state, std::uint32_t slots,
                                    const std::string &version)
{
    boost::asio::post(this->impl->context, [impl = this->impl.get(), cluster, state, slots, version] {
        impl->announceUpstream(cluster, state, slots, version);
    });
}

void ControlPlane::announce(const Notice &notice)
{
    boost::asio::post(this->impl->context, [impl = this->impl.get(), notice] { impl->announce(notice); });
}

void ControlPlane::announce(const Bulletin &bulletin)
{
    boost::asio::post(this->impl->context, [impl = this->impl.get(), bulletin] { impl->announce(bulletin); });
}

void ControlPlane::sendReport(const std::string &memberId, const std::string &report)
{
    boost::asio::post(this->impl->context,
                      [impl = this->impl.get(), memberId, report] { impl->sendReport(memberId, report); });
}

void ControlPlane::announceStoreEra(std::uint64_t era)
{
    this->impl->announceStoreEra(era);
}

void ControlPlane::sendDatagram(const std::string &gossipAddress, const std::string &bytes)
{
    this->impl->sendDatagram(gossipAddress, bytes);
}

void ControlPlane::setHeadProof(const HeadProof &proof)
{
    this->impl->setHeadProof(proof);
}

std::uint64_t ControlPlane::knownHeadVersion() const
{
    return this->impl->knownHead;
}

void ControlPlane::storeRestored()
{
    this->impl->storeRestored();
}

void ControlPlane::leave(std::function<void()> done)
{
    boost::asio::post(this->impl->context, [impl = this->impl.get(), done = std::move(done)]() mutable {
        impl->leave(std::move(done));
    });
}

void ControlPlane::stop()
{
    this->impl->stop();
}

bool ControlPlane::ready() const
{
    return this->impl->ready;
}

ControlStatus ControlPlane::status() const
{
    return this->impl->status();
}

} // namespace Sagecrank
