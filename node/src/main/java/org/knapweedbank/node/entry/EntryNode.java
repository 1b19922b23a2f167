package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.owner.JobOwner;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.CallRequest;
import org.knapweedbank.node.Timers;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.LinkListener;
import org.knapweedbank.node.link.Links;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.node.link.OwnerConnector;
import org.knapweedbank.node.link.OwnerListener;
import org.knapweedbank.node.store.CoordinationStore;
import org.knapweedbank.time.Clock;

/**
 * One entry: takes part in elections, owns the jobs when elected, and passes calls to the owner.
 */
public final class EntryNode implements ElectionListener, FleetListener, OwnerListener {
    /** Longest wait for the last writes of a stopping owner. */
    private static final Duration DRAIN = Duration.ofMillis(1_000);

    private final EntrySettings mSettings;
    private final Clock mClock;
    private final Timers mTimers;
    private final CoordinationStore mStore;
    private final Links mLinks;
    private final DecisionLog mLog;
    private final Election mElection;
    private final CallRouter mRouter;
    private final OwnerConnector mConnector;
    private FleetConfiguration mConfiguration;
    private Set<DataCentreId> mEvacuated = Set.of();
    private OwnerDuty mDuty;
    private JobOwner mOwner;
    private long mHighestTerm;
    private String mOwnerAddress = "";
    private boolean mStopping;

    /**
     * Creates the entry.
     *
     * @param settings its settings
     * @param clock source of time
     * @param timers timers of the process
     * @param store the store
     * @param links opens and accepts links
     * @param log receives decisions
     */
    public EntryNode(
            EntrySettings settings,
            Clock clock,
            Timers timers,
            CoordinationStore store,
            Links links,
            DecisionLog log) {
        mSettings = settings;
        mClock = clock;
        mTimers = timers;
        mStore = store;
        mLinks = links;
        mLog = log;
        mElection = new Election(settings, store, timers, log, this);
        mRouter = new CallRouter(timers, log);
        mConnector =
                new OwnerConnector(
                        links,
                        timers,
                        log,
                        new NodeMessage.EntryHello(settings.node()),
                        this,
                        known -> known.accept(mElection.addresses()));
    }

    /**
     * Starts the entry.
     *
     * @param feed source of the operators' decisions
     */
    public void start(FleetFeed feed) {
        mLinks.listen(mSettings.host(), mSettings.port(), Incoming::new);
        mElection.start();
        mConnector.start();
        feed.start(this);
    }

    /**
     * Tells whether callers should be sent here.
     *
     * @return true if there is a configuration and an owner, and the entry does not stop
     */
    public boolean ready() {
        return mConfiguration != null && mRouter.hasOwner() && !mStopping;
    }

    /**
     * Configuration in force.
     *
     * @return the configuration, empty before the first has come
     */
    public Optional<FleetConfiguration> configuration() {
        return Optional.ofNullable(mConfiguration);
    }

    /**
     * Handles a request of a caller.
     *
     * @param request the request
     * @param limit when an answer must be given
     * @param done receives the answer
     */
    public void call(CallRequest request, Duration limit, Consumer<CallAnswer> done) {
        mRouter.call(request, limit, done);
    }

    /**
     * Takes no new callers, hands the ownership over and leaves the store; open calls and those of
     * open connections are still answered.
     *
     * @param left runs when the entry has left the store or can't
     */
    public void stop(Runnable left) {
        mStopping = true;
        handOver(() -> mElection.leave(left));
    }

    @Override
    public void elected(long term, long termRevision) {
        mHighestTerm = Math.max(mHighestTerm, term);
        mOwnerAddress = mSettings.address();
        mConnector.send(new NodeMessage.Superseded(term, mSettings.address()));
        mConnector.stop();
        OwnerDuty duty =
                new OwnerDuty(
                        mSettings,
                        mClock,
                        mTimers,
                        mStore,
                        mLog,
                        term,
                        termRevision,
                        mElection::outdated);
        mDuty = duty;
        duty.load(owner -> loaded(duty, owner));
    }

    @Override
    public void confirmed(long term) {
        if (mOwner != null && mDuty.term() == term) {
            mOwner.confirmed();
        }
    }

    @Override
    public void deposed(long newest) {
        mHighestTerm = Math.max(mHighestTerm, newest);
        endDuty();
    }

    @Override
    public void ownerAt(String address, long term) {
        if (!address.equals(mOwnerAddress) && term > mHighestTerm) {
            mConnector.send(new NodeMessage.Superseded(term, address));
        }
        mOwnerAddress = address;
        mConnector.hint(address);
    }

    @Override
    public void configured(FleetConfiguration configuration) {
        if (mConfiguration != null && configuration.version() <= mConfiguration.version()) {
            return;
        }
        mConfiguration = configuration;
        mLog.record(
                "config.in_force",
                configuration.version(),
                "queues",
                configuration.queues().size());
        if (mOwner != null) {
            mOwner.configure(configuration.queues());
        }
    }

    @Override
    public void evacuated(Set<DataCentreId> dataCentres) {
        if (!dataCentres.equals(mEvacuated)) {
            mLog.record("evacuation", dataCentres);
        }
        mEvacuated = dataCentres;
        if (mOwner != null) {
            mOwner.evacuate(dataCentres);
        }
    }

    @Override
    public void current() {
        if (mOwner != null) {
            mOwner.viewIsCurrent();
        }
    }

    @Override
    public boolean acceptable(long term) {
        return term >= mHighestTerm && mDuty == null;
    }

    @Override
    public void connected(Link owner, long term) {
        mHighestTerm = term;
        mRouter.remote(owner);
    }

    @Override
    public void received(NodeMessage message) {
        switch (message) {
            case NodeMessage.Reply reply -> mRouter.replied(reply.number(), reply.answer());
            case NodeMessage.TakeOver request -> mElection.takeOver(request.term());
            default -> mLog.record("entry.unexpected", message.getClass().getSimpleName());
        }
    }

    @Override
    public void disconnected() {
        mRouter.remote(null);
    }

    private void loaded(OwnerDuty duty, JobOwner owner) {
        if (mDuty != duty) {
            return;
        }
        mOwner = owner;
        if (mConfiguration != null) {
            owner.configure(mConfiguration.queues());
        }
        owner.evacuate(mEvacuated);
        mRouter.local(duty);
    }

    private void endDuty() {
        OwnerDuty duty = mDuty;
        mDuty = null;
        mOwner = null;
        mRouter.local(null);
        if (duty != null) {
            duty.stop();
            mOwnerAddress = "";
            mConnector.start();
        }
    }

    /**
     * Gives the ownership up when another entry knows a later owner. The store may turn away just
     * this entry, whose agents would otherwise stay with an owner that can store nothing.
     */
    private void superseded(long term, String owner) {
        if (mDuty != null && term > mDuty.term()) {
            mLog.record("owner.superseded", mDuty.term(), "newest", term, "owner", owner);
            mElection.superseded(term);
            ownerAt(owner, term);
        }
    }

    private void handOver(Runnable done) {
        if (mDuty == null) {
            mElection.resign(done);
            return;
        }
        mDuty.drain(
                DRAIN,
                () -> {
                    endDuty();
                    mElection.resign(done);
                });
    }

    /** Link that another process has opened. */
    private final class Incoming implements LinkListener {
        private final Link mLink;
        private LinkListener mListener;

        Incoming(Link link) {
            mLink = link;
        }

        @Override
        public void received(NodeMessage message) {
            if (message instanceof NodeMessage.Superseded word) {
                superseded(word.term(), word.owner());
                return;
            }
            if (mListener != null) {
                mListener.received(message);
                return;
            }
            switch (message) {
                case NodeMessage.AgentHello hello when serving() ->
                        mListener = mDuty.agent(mLink, hello);
                case NodeMessage.EntryHello ignored when serving() ->
                        mListener = mDuty.entry(mLink);
                default -> redirect();
            }
        }

        @Override
        public void closed(String reason) {
            if (mListener != null) {
                mListener.closed(reason);
            }
        }

        private boolean serving() {
            return mDuty != null && mDuty.ready();
        }

        private void redirect() {
            boolean own = mOwnerAddress.equals(mSettings.address());
            mLink.send(new NodeMessage.Redirect(own ? "" : mOwnerAddress));
        }
    }
}
