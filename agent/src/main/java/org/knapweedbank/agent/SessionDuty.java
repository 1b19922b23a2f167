package org.knapweedbank.agent;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.CheckpointTask;
import org.knapweedbank.wire.ConfigAck;
import org.knapweedbank.wire.ConfigPush;
import org.knapweedbank.wire.Goodbye;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.HeartbeatAck;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.Redirect;
import org.knapweedbank.wire.ReportAck;
import org.knapweedbank.wire.SessionGrant;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.StartTask;
import org.knapweedbank.wire.StopTask;
import org.knapweedbank.wire.TaskList;
import org.knapweedbank.wire.TaskListRequest;
import org.knapweedbank.wire.TaskReport;
import org.knapweedbank.wire.ThrottleTask;
import org.knapweedbank.wire.UpstreamState;

/**
 * Keeps the session with the owner of the partition: finds the owner over the seeds, opens the
 * session, sends heartbeats, and passes on commands of the session's epoch. Runs on the duty
 * thread.
 */
final class SessionDuty {
    static final Duration HEARTBEAT = Duration.ofSeconds(1);

    /** Time for the result of an attempt to connect, which the full ring may have rejected. */
    static final Duration CONNECT_LIMIT = Duration.ofSeconds(10);

    /** Time for the reply to {@code SessionOpen}. */
    static final Duration GRANT_LIMIT = Duration.ofSeconds(3);

    /** Silence after which another seed is asked for the owner. */
    static final Duration ACK_LIMIT = Duration.ofSeconds(5);

    /** Redirects followed in a row before a seed is asked again. */
    private static final int MAX_REDIRECTS = 3;

    private static final Logger LOG = LogManager.getLogger(SessionDuty.class);

    private final AgentSettings mSettings;
    private final Clock mClock;
    private final ControlLinkOpener mOpener;
    private final TaskLedger mLedger;
    private final PermitCheck mPermits;
    private final SessionTimer mTimer;
    private final ConfigState mConfig;
    private final TaskDuty mTasks;
    private final UsageFeed mUsage;
    private final Backoff mBackoff;
    private final LongConsumer mGenerations;
    private final UpstreamFeed mUpstreams = new UpstreamFeed();
    private String mDataAddress;
    private Connection mConnection;
    private String mOwner = "";
    private int mRedirects;
    private int mSeed;
    private long mConnectNanos;
    private long mRejected;

    /** One connection, from the attempt to open it until its end. */
    private final class Connection implements ControlLinkListener {
        private final long mStartedNanos = mClock.monotonicNanos();
        private ControlLink mLink;
        private boolean mOpenSent;
        private boolean mGranted;
        private long mOpenedNanos;
        private long mEpoch;
        private long mSeq;
        private long mHeartbeatNanos;
        private long mAckNanos;

        @Override
        public void opened(ControlLink link) {
            if (mConnection != this) {
                link.close("connection is no longer needed");
                return;
            }
            mLink = link;
            openSession();
        }

        @Override
        public void failed(String reason) {
            if (mConnection == this) {
                LOG.info("[agent] no control connection: {}", reason);
                reconnectLater();
            }
        }

        @Override
        public void message(Message message) {
            if (mConnection == this) {
                onMessage(this, message);
            }
        }

        @Override
        public void closed() {
            if (mConnection == this) {
                LOG.info("[agent] control connection closed");
                reconnectLater();
            }
        }

        private void openSession() {
            if (mOpenSent || !mTasks.adopted()) {
                return;
            }
            mOpenSent = true;
            mOpenedNanos = mClock.monotonicNanos();
            mLink.send(
                    new SessionOpen(
                            mSettings.vm(),
                            mSettings.rack(),
                            mSettings.region(),
                            mSettings.capacity(),
                            mDataAddress,
                            mConfig.generation(),
                            mTasks.held(),
                            mSettings.workerAddress()));
        }
    }

    SessionDuty(
            AgentSettings settings,
            Clock clock,
            ControlLinkOpener opener,
            TaskLedger ledger,
            PermitCheck permits,
            SessionTimer timer,
            ConfigState config,
            TaskDuty tasks,
            UsageFeed usage,
            Backoff backoff,
            LongConsumer generations) {
        mSettings = settings;
        mClock = clock;
        mOpener = opener;
        mLedger = ledger;
        mPermits = permits;
        mTimer = timer;
        mConfig = config;
        mTasks = tasks;
        mUsage = usage;
        mBackoff = backoff;
        mGenerations = generations;
        mDataAddress = settings.host() + ":" + settings.dataPort();
        mConnectNanos = clock.monotonicNanos();
    }

    /** Sets the port for requests once it is known. */
    void dataPort(int port) {
        mDataAddress = mSettings.host() + ":" + port;
    }

    /** Records a changed upstream for the next heartbeat. */
    void upstreamChanged(UpstreamState state) {
        mUpstreams.changed(state);
    }

    /** One pass over everything that is due. */
    void step() {
        long now = mClock.monotonicNanos();
        if (mConnection == null) {
            if (now - mConnectNanos >= 0) {
                connect();
            }
            return;
        }
        Connection connection = mConnection;
        if (connection.mLink == null) {
            if (now - connection.mStartedNanos >= CONNECT_LIMIT.toNanos()) {
                reconnectLater();
            }
            return;
        }
        connection.openSession();
        if (!connection.mGranted) {
            if (now - connection.mStartedNanos >= GRANT_LIMIT.toNanos()) {
                drop("no session was granted in time");
            }
        } else if (now - connection.mAckNanos >= ACK_LIMIT.toNanos()) {
            drop("heartbeats are not acknowledged");
        } else if (now - connection.mHeartbeatNanos >= HEARTBEAT.toNanos()) {
            heartbeat();
        }
    }

    /** Sends a heartbeat at once, so that a change is known without the wait for the next one. */
    void heartbeat() {
        Connection connection = mConnection;
        if (connection == null || !connection.mGranted) {
            return;
        }
        long seq = ++connection.mSeq;
        connection.mHeartbeatNanos = mClock.monotonicNanos();
        mPermits.heartbeatSent(seq);
        connection.mLink.send(
                new Heartbeat(
                        seq,
                        connection.mEpoch,
                        mLedger.digest(),
                        mConfig.generation(),
                        mUpstreams.take(seq),
                        mUsage.take(),
                        mUsage.takeLatencies()));
    }

    /** Sends a report; returns false while there is no session. */
    boolean report(TaskReport report) {
        return mConnection != null && mConnection.mGranted && mConnection.mLink.send(report);
    }

    /** Ends the connection for good. */
    void stop() {
        if (mConnection != null && mConnection.mLink != null) {
            mConnection.mLink.close("agent stops");
        }
        mConnection = null;
        mConnectNanos = Long.MAX_VALUE;
    }

    /** Number of commands rejected because of their epoch. */
    long rejected() {
        return mRejected;
    }

    private void connect() {
        String address = mOwner;
        if (address.isEmpty()) {
            address = mSettings.seeds().get(mSeed);
            mSeed = (mSeed + 1) % mSettings.seeds().size();
        }
        mConnection = new Connection();
        mOpener.open(address, mConnection);
    }

    private void drop(String reason) {
        LOG.warn("[agent] control connection dropped: {}", reason);
        ControlLink link = mConnection.mLink;
        reconnectLater();
        if (link != null) {
            link.close(reason);
        }
    }

    private void reconnectLater() {
        mConnection = null;
        mOwner = "";
        mRedirects = 0;
        mConnectNanos = mClock.monotonicNanos() + mBackoff.next().toNanos();
    }

    private void onMessage(Connection connection, Message message) {
        switch (message) {
            case Redirect redirect -> onRedirect(redirect);
            case SessionGrant grant -> onGrant(connection, grant);
            case HeartbeatAck ack -> onAck(connection, ack);
            case ConfigPush push -> onConfig(connection, push);
            case ReportAck ack -> mTasks.acknowledge(ack);
            case Goodbye goodbye -> drop("peer says " + goodbye.reason());
            case TaskListRequest request -> {
                if (fenced(connection, request.epoch(), request)) {
                    connection.mLink.send(
                            new TaskList(connection.mEpoch, connection.mSeq, mTasks.held()));
                }
            }
            case StartTask start -> {
                if (fenced(connection, start.epoch(), start)) {
                    mTasks.start(start);
                }
            }
            case StopTask stop -> {
                if (fenced(connection, stop.epoch(), stop)) {
                    mTasks.stop(stop);
                }
            }
            case CheckpointTask checkpoint -> {
                if (fenced(connection, checkpoint.epoch(), checkpoint)) {
                    mTasks.checkpoint(checkpoint);
                }
            }
            case ThrottleTask throttle -> {
                if (fenced(connection, throttle.epoch(), throttle)) {
                    mTasks.throttle(throttle);
                }
            }
            default ->
                    LOG.warn(
                            "[agent] unexpected {} on the control connection",
                            message.getClass().getSimpleName());
        }
    }

    private void onRedirect(Redirect redirect) {
        boolean stale = redirect.epoch() < mLedger.epoch();
        if (redirect.address().isEmpty() || stale || mRedirects >= MAX_REDIRECTS) {
            drop(stale ? "redirect of a former epoch" : "the partition has no reachable owner");
            return;
        }
        int redirects = mRedirects + 1;
        ControlLink link = mConnection.mLink;
        mConnection = null;
        link.close("redirected");
        mRedirects = redirects;
        mOwner = redirect.address();
        connect();
    }

    private void onGrant(Connection connection, SessionGrant grant) {
        if (connection.mGranted && grant.epoch() == connection.mEpoch) {
            return;
        }
        if (!mLedger.acceptEpoch(grant.epoch())) {
            mRejected++;
            drop("session of the former epoch " + grant.epoch());
            return;
        }
        if (connection.mGranted) {
            drop("owner changed its epoch during the session");
            return;
        }
        connection.mGranted = true;
        connection.mEpoch = grant.epoch();
        connection.mAckNanos = mClock.monotonicNanos();
        mTimer.granted(connection.mOpenedNanos, Duration.ofMillis(grant.ttlMillis()));
        mPermits.sessionOpened();
        mUpstreams.sessionOpened();
        mBackoff.reset();
        LOG.info(
                "[agent] session in partition {} under epoch {}", grant.partition(), grant.epoch());
        heartbeat();
        mTasks.sessionOpened();
    }

    private void onAck(Connection connection, HeartbeatAck ack) {
        if (!connection.mGranted || ack.epoch() != connection.mEpoch) {
            mRejected++;
            return;
        }
        Optional<Long> sent = mPermits.sentNanos(ack.seq());
        if (sent.isPresent()) {
            mTimer.acknowledged(sent.get());
            mUpstreams.acknowledged(ack.seq());
            connection.mAckNanos = mClock.monotonicNanos();
        }
    }

    private void onConfig(Connection connection, ConfigPush push) {
        if (mConfig.apply(push)) {
            LOG.info("[agent] configuration generation {} in force", push.generation());
            mGenerations.accept(push.generation());
        }
        connection.mLink.send(new ConfigAck(mSettings.daemon(), mConfig.generation()));
    }

    private boolean fenced(Connection connection, long epoch, Message command) {
        if (connection.mGranted && epoch == connection.mEpoch) {
            return true;
        }
        mRejected++;
        LOG.warn(
                "[agent] {} of epoch {} rejected, session has epoch {}",
                command.getClass().getSimpleName(),
                epoch,
                connection.mEpoch);
        return false;
    }
}
