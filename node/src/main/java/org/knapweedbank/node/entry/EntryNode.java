package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.owner.JobOwner;
import org.knapweedbank.jobs.owner.Takeover;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.CallRequest;
import org.knapweedbank.node.Timers;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.LinkListener;
import org.knapweedbank.node.link.LinkTransport;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.node.link.OwnerConnector;
import org.knapweedbank.node.link.OwnerListener;
import org.knapweedbank.node.store.CoordinationStore;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.Timestamp;

/**
 * Entry process: takes part in elections, schedules the jobs while it is the owner, and routes
 * calls to the owner.
 */
public final class EntryNode implements ElectionListener, FleetListener, OwnerListener {
    /** Maximum time that a stopping owner waits for its last writes. */
    private static final Duration DRAIN_TIMEOUT = Duration.ofMillis(1_000);

    private final EntrySettings mSettings;
    private final Clock mClock;
    private final Timers mTimers;
    private final CoordinationStore mStore;
    private final LinkTransport mTransport;
    private final DecisionLog mLog;
    private final OwnerContact mOwnerContact;
    private final Election mElection;
    private final CallRouter mRouter;
    private final OwnerConnector mConnector;
    private FleetConfiguration mConfiguration;
    private Set<DataCentreId> mEvacuatedDataCentres = Set.of();

    /** Current ownership of this entry, null if it is not the owner. */
    private OwnershipTerm mOwnership;

    /** Scheduler of the jobs, null until the current ownership has loaded the records. */
    private JobOwner mJobOwner;

    /** Highest term that this entry has seen; owners of lower terms are not accepted. */
    private long mHighestTerm;

    /** Address of the owner, empty if unknown. */
    private String mOwnerAddress = "";

    private boolean mStopping;

    /**
     * Creates the entry.
     *
     * @param settings its settings
     * @param clock source of time
     * @param timers timers of the process
     * @param store the store
     * @param transport opens and accepts links
     * @param log receives decisions
     */
    public EntryNode(
            EntrySettings settings,
            Clock clock,
            Timers timers,
            CoordinationStore store,
            LinkTransport transport,
            DecisionLog log) {
        mSettings = settings;
        mClock = clock;
        mTimers = timers;
        mStore = store;
        mTransport = transport;
        mLog = log;
        mOwnerContact = new OwnerContact(clock);
        mElection = new Election(settings, clock, store, timers, log, mOwnerContact, this);
        mRouter = new CallRouter(timers, log);
        mConnector =
                new OwnerConnector(
                        transport,
                        timers,
                        log,
                        new NodeMessage.EntryHello(settings.entry()),
                        this,
                        receiver -> receiver.accept(mElection.addresses()));
    }

    /**
     * Starts the entry.
     *
     * @param feed source of the configuration and of the evacuated data centres
     */
    public void start(FleetFeed feed) {
        mTransport.listen(
                mSettings.host(),
                mSettings.port(),
                IncomingLink::new,
                () -> {
                    mElection.start();
                    mConnector.start();
                });
        feed.start(this);
    }

    /**
     * Returns whether the load balancer should send callers to this entry.
     *
     * @return true if there is a configuration and an owner and the entry is not stopping
     */
    public boolean isReady() {
        return mConfiguration != null && mRouter.hasOwner() && !mStopping;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, empty until the first one is read
     */
    public Optional<FleetConfiguration> configuration() {
        return Optional.ofNullable(mConfiguration);
    }

    /**
     * Handles a request of a caller.
     *
     * @param request the request
     * @param timeout time within which the request is answered
     * @param done receives the answer
     */
    public void call(CallRequest request, Duration timeout, Consumer<CallAnswer> done) {
        mRouter.call(request, timeout, done);
    }

    /**
     * Stops accepting new callers, hands over the ownership and deregisters from the store. Open
     * calls and further calls on open connections are still answered.
     *
     * @param onDeregistered runs when the entry is deregistered or that has failed
     */
    public void stop(Runnable onDeregistered) {
        mStopping = true;
        if (mOwnership == null && mElection.withdraw()) {
            mConnector.send(new NodeMessage.Withdrawal());
        }
        handOverOwnership(() -> mElection.deregister(onDeregistered));
    }

    @Override
    public void elected(Takeover takeover, long termRevision) {
        mHighestTerm = Math.max(mHighestTerm, takeover.term());
        mOwnerAddress = mSettings.address();
        mConnector.send(new NodeMessage.Superseded(takeover.term(), mSettings.address()));
        mConnector.stop();
        OwnershipTerm ownership =
                new OwnershipTerm(
                        mSettings,
                        mClock,
                        mTimers,
                        mStore,
                        mLog,
                        takeover,
                        termRevision,
                        mElection::otherEntries,
                        mElection::deposeIfOwner);
        mOwnership = ownership;
        ownership.load(owner -> serveAsOwner(ownership, owner));
    }

    @Override
    public void termConfirmed(long term, Timestamp askedAt) {
        if (mJobOwner != null && mOwnership.term() == term) {
            mOwnership.confirmByStore(askedAt, mElection::entryRevision);
        }
    }

    @Override
    public void earlierOwnersLimited(long term, long untilMillis) {
        if (mOwnership != null && mOwnership.term() == term) {
            mOwnership.limitEarlierOwners(untilMillis, "the process of the former owner has ended");
        }
    }

    @Override
    public void deposed(long newerTerm) {
        mHighestTerm = Math.max(mHighestTerm, newerTerm);
        endOwnership();
    }

    @Override
    public void ownerFound(String address, long term) {
        if (!address.equals(mOwnerAddress) && term > mHighestTerm) {
            mConnector.send(new NodeMessage.Superseded(term, address));
        }
        mOwnerAddress = address;
        mConnector.setOwnerAddress(address);
    }

    @Override
    public void updateConfiguration(FleetConfiguration configuration) {
        if (mConfiguration != null && configuration.version() <= mConfiguration.version()) {
            return;
        }
        mConfiguration = configuration;
        mLog.record(
                "config.in_force",
                configuration.version(),
                "queues",
                configuration.queues().size());
        if (mJobOwner != null) {
            mJobOwner.configure(configuration.queues());
        }
    }

    @Override
    public void updateEvacuatedDataCentres(Set<DataCentreId> dataCentres) {
        if (!dataCentres.equals(mEvacuatedDataCentres)) {
            mLog.record("evacuation", dataCentres);
        }
        mEvacuatedDataCentres = dataCentres;
        if (mJobOwner != null) {
            mJobOwner.setEvacuatedDataCentres(dataCentres);
        }
    }

    @Override
    public void caughtUp() {
        if (mJobOwner != null) {
            mJobOwner.markViewCurrent();
        }
    }

    @Override
    public boolean isAcceptable(long term) {
        return term >= mHighestTerm && mOwnership == null;
    }

    @Override
    public void connected(Link owner, long term) {
        mHighestTerm = term;
        mOwnerContact.linked(term);
        if (mConnector.ownerTakesRegistrations()) {
            mElection.registrationStatement().ifPresent(owner::send);
        }
        mRouter.setRemoteOwner(owner);
    }

    @Override
    public void received(NodeMessage message) {
        switch (message) {
            case NodeMessage.Reply reply -> mRouter.complete(reply.number(), reply.answer());
            case NodeMessage.TakeOver request -> mElection.takeOver(request.term());
            case NodeMessage.TermQuery query -> {
                if (mElection.hasBegunNoTermAfter(query.term())) {
                    mConnector.send(new NodeMessage.TermAnswer(query.number()));
                }
            }
            default -> mLog.record("entry.unexpected", message.getClass().getSimpleName());
        }
    }

    @Override
    public void disconnected() {
        mOwnerContact.closed();
        mRouter.setRemoteOwner(null);
    }

    private void serveAsOwner(OwnershipTerm ownership, JobOwner owner) {
        if (mOwnership != ownership) {
            return;
        }
        mJobOwner = owner;
        if (mConfiguration != null) {
            owner.configure(mConfiguration.queues());
        }
        owner.setEvacuatedDataCentres(mEvacuatedDataCentres);
        mRouter.setLocalOwner(ownership);
    }

    private void endOwnership() {
        OwnershipTerm ownership = mOwnership;
        mOwnership = null;
        mJobOwner = null;
        mRouter.setLocalOwner(null);
        if (ownership != null) {
            ownership.stop();
            mOwnerAddress = "";
            mConnector.start();
        }
    }

    /**
     * Gives up the ownership when another entry reports a later owner. The store may reject only
     * this entry's requests; without the report its agents would stay connected to an owner that
     * can't write.
     */
    private void handleSuperseded(long term, String ownerAddress) {
        if (mOwnership != null && term > mOwnership.term()) {
            mLog.record(
                    "owner.superseded", mOwnership.term(), "newest", term, "owner", ownerAddress);
            mElection.deposeIfOutdated(term);
            ownerFound(ownerAddress, term);
        }
    }

    private void handOverOwnership(Runnable done) {
        if (mOwnership == null) {
            mElection.resign(done);
            return;
        }
        mOwnership.drain(
                DRAIN_TIMEOUT,
                () -> {
                    endOwnership();
                    mElection.resign(done);
                });
    }

    /** Link opened by another process. Its first message selects the listener of the others. */
    private final class IncomingLink implements LinkListener {
        private final Link mLink;
        private LinkListener mListener;

        IncomingLink(Link link) {
            mLink = link;
        }

        @Override
        public void received(NodeMessage message) {
            if (message instanceof NodeMessage.Superseded superseded) {
                handleSuperseded(superseded.term(), superseded.ownerAddress());
                return;
            }
            if (mListener != null) {
                mListener.received(message);
                return;
            }
            switch (message) {
                case NodeMessage.AgentHello hello when isServing() ->
                        mListener = mOwnership.acceptAgent(mLink, hello);
                case NodeMessage.EntryHello hello when isServing() ->
                        mListener = mOwnership.acceptEntry(mLink, hello);
                default -> sendRedirect();
            }
        }

        @Override
        public void closed(String reason) {
            if (mListener != null) {
                mListener.closed(reason);
            }
        }

        private boolean isServing() {
            return mOwnership != null && mOwnership.isReady();
        }

        private void sendRedirect() {
            boolean own = mOwnerAddress.equals(mSettings.address());
            mLink.send(new NodeMessage.Redirect(own ? "" : mOwnerAddress));
        }
    }
}
