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
 * Maintains the session with the owner of the VM's partition: finds the owner through the seeds,
 * opens the session, sends heartbeats, and dispatches the commands that carry the epoch of the
 * session. Not thread-safe; used on the control thread only.
 */
final class SessionDuty {
    static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

    /**
     * Timeout for the result of a connection attempt; the result is lost if the event queue was
     * full.
     */
    static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(10);

    /** Timeout for the grant of a session, measured from the start of the connection attempt. */
    static final Duration GRANT_TIMEOUT = Duration.ofSeconds(3);

    /**
     * Time without an acknowledged heartbeat after which the agent reconnects through another seed.
     */
    static final Duration ACK_TIMEOUT = Duration.ofSeconds(5);

    /**
     * Maximum number of consecutive redirects that are followed before the agent returns to the
     * seeds.
     */
    private static final int MAX_REDIRECTS = 3;

    private static final Logger LOG = LogManager.getLogger(SessionDuty.class);

    private final AgentSettings mSettings;
    private final Clock mClock;
    private final ControlLinkOpener mOpener;
    private final AttemptTable mAttemptTable;
    private final PermitCheck mPermits;
    private final SessionTimer mSessionTimer;
    private final ConfigState mConfig;
    private final TaskDuty mTaskDuty;
    private final UsageReporter mUsageReporter;
    private final Backoff mBackoff;
    private final LongConsumer mGenerationListener;
    private final UpstreamStateReporter mUpstreamStateReporter = new UpstreamStateReporter();
    private String mDataAddress;
    private Connection mConnection;
    private String mOwnerAddress = "";
    private int mRedirectCount;
    private int mNextSeedIndex;
    private long mNextConnectNanos;
    private long mRejectedMessages;

    /** A control connection, from the attempt to open it until its end. */
    private final class Connection implements ControlLinkListener {
        private final long mStartedNanos = mClock.monotonicNanos();
        private ControlLink mLink;
        private boolean mOpenSent;
        private boolean mGranted;
        private long mOpenSentNanos;
        private long mEpoch;
        private long mHeartbeatSeq;
        private long mLastHeartbeatNanos;
        private long mLastAckNanos;

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
                LOG.info("[agent] control connection could not be opened: {}", reason);
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
            if (mOpenSent || !mTaskDuty.areWorkerTasksKnown()) {
                return;
            }
            mOpenSent = true;
            mOpenSentNanos = mClock.monotonicNanos();
            mLink.send(
                    new SessionOpen(
                            mSettings.vm(),
                            mSettings.rack(),
                            mSettings.region(),
                            mSettings.capacity(),
                            mDataAddress,
                            mConfig.generation(),
                            mTaskDuty.heldAttempts(),
                            mSettings.workerAddress()));
        }
    }

    SessionDuty(
            AgentSettings settings,
            Clock clock,
            ControlLinkOpener opener,
            AttemptTable attemptTable,
            PermitCheck permits,
            SessionTimer timer,
            ConfigState config,
            TaskDuty tasks,
            UsageReporter usage,
            Backoff backoff,
            LongConsumer generationListener) {
        mSettings = settings;
        mClock = clock;
        mOpener = opener;
        mAttemptTable = attemptTable;
        mPermits = permits;
        mSessionTimer = timer;
        mConfig = config;
        mTaskDuty = tasks;
        mUsageReporter = usage;
        mBackoff = backoff;
        mGenerationListener = generationListener;
        mDataAddress = settings.host() + ":" + settings.dataPort();
        mNextConnectNanos = clock.monotonicNanos();
    }

    /** Sets the port for requests, which is known once the listener is open. */
    void setDataPort(int port) {
        mDataAddress = mSettings.host() + ":" + port;
    }

    /** Records a changed state of an upstream, to be sent with the next heartbeat. */
    void upstreamChanged(UpstreamState state) {
        mUpstreamStateReporter.recordChange(state);
    }

    /** Connects, sends heartbeats and checks timeouts as they are due; called periodically. */
    void step() {
        long now = mClock.monotonicNanos();
        if (mConnection == null) {
            if (now - mNextConnectNanos >= 0) {
                connect();
            }
            return;
        }
        Connection connection = mConnection;
        if (connection.mLink == null) {
            if (now - connection.mStartedNanos >= CONNECT_TIMEOUT.toNanos()) {
                reconnectLater();
            }
            return;
        }
        connection.openSession();
        if (!connection.mGranted) {
            if (now - connection.mStartedNanos >= GRANT_TIMEOUT.toNanos()) {
                dropConnection("no session was granted in time");
            }
        } else if (now - connection.mLastAckNanos >= ACK_TIMEOUT.toNanos()) {
            dropConnection("heartbeats are not acknowledged");
        } else if (now - connection.mLastHeartbeatNanos >= HEARTBEAT_INTERVAL.toNanos()) {
            heartbeat();
        }
    }

    /**
     * Sends a heartbeat immediately if there is a session, so that the owner learns of a change
     * without waiting for the next regular heartbeat.
     */
    void heartbeat() {
        Connection connection = mConnection;
        if (connection == null || !connection.mGranted) {
            return;
        }
        long seq = ++connection.mHeartbeatSeq;
        connection.mLastHeartbeatNanos = mClock.monotonicNanos();
        mPermits.recordHeartbeat(seq);
        connection.mLink.send(
                new Heartbeat(
                        seq,
                        connection.mEpoch,
                        mAttemptTable.digest(),
                        mConfig.generation(),
                        mUpstreamStateReporter.statesForHeartbeat(seq),
                        mUsageReporter.takeSamples(),
                        mUsageReporter.takeLatencies()));
    }

    /** Sends a task report; returns false if there is no session or the report was not sent. */
    boolean report(TaskReport report) {
        return mConnection != null && mConnection.mGranted && mConnection.mLink.send(report);
    }

    /** Closes the connection and opens no other one. */
    void stop() {
        if (mConnection != null && mConnection.mLink != null) {
            mConnection.mLink.close("agent stops");
        }
        mConnection = null;
        mNextConnectNanos = Long.MAX_VALUE;
    }

    /**
     * Returns the number of commands, grants and acknowledgements rejected because of their epoch.
     */
    long rejectedMessages() {
        return mRejectedMessages;
    }

    private void connect() {
        String address = mOwnerAddress;
        if (address.isEmpty()) {
            address = mSettings.seeds().get(mNextSeedIndex);
            mNextSeedIndex = (mNextSeedIndex + 1) % mSettings.seeds().size();
        }
        mConnection = new Connection();
        mOpener.open(address, mConnection);
    }

    private void dropConnection(String reason) {
        LOG.warn("[agent] control connection dropped: {}", reason);
        ControlLink link = mConnection.mLink;
        reconnectLater();
        if (link != null) {
            link.close(reason);
        }
    }

    /**
     * Discards the connection and schedules the next attempt, at a seed, after the backoff delay.
     */
    private void reconnectLater() {
        mConnection = null;
        mOwnerAddress = "";
        mRedirectCount = 0;
        mNextConnectNanos = mClock.monotonicNanos() + mBackoff.nextDelay().toNanos();
    }

    private void onMessage(Connection connection, Message message) {
        switch (message) {
            case Redirect redirect -> onRedirect(redirect);
            case SessionGrant grant -> onGrant(connection, grant);
            case HeartbeatAck ack -> onAck(connection, ack);
            case ConfigPush push -> onConfig(connection, push);
            case ReportAck ack -> mTaskDuty.acknowledge(ack);
            case Goodbye goodbye -> dropConnection("peer says " + goodbye.reason());
            case TaskListRequest request -> {
                if (hasSessionEpoch(connection, request.epoch(), request)) {
                    connection.mLink.send(
                            new TaskList(
                                    connection.mEpoch,
                                    connection.mHeartbeatSeq,
                                    mTaskDuty.heldAttempts()));
                }
            }
            case StartTask start -> {
                if (hasSessionEpoch(connection, start.epoch(), start)) {
                    mTaskDuty.start(start);
                }
            }
            case StopTask stop -> {
                if (hasSessionEpoch(connection, stop.epoch(), stop)) {
                    mTaskDuty.stop(stop);
                }
            }
            case CheckpointTask checkpoint -> {
                if (hasSessionEpoch(connection, checkpoint.epoch(), checkpoint)) {
                    mTaskDuty.checkpoint(checkpoint);
                }
            }
            case ThrottleTask throttle -> {
                if (hasSessionEpoch(connection, throttle.epoch(), throttle)) {
                    mTaskDuty.throttle(throttle);
                }
            }
            default ->
                    LOG.warn(
                            "[agent] unexpected message {} on the control connection",
                            message.getClass().getSimpleName());
        }
    }

    /** Connects to the owner that a redirect names, within the limit of consecutive redirects. */
    private void onRedirect(Redirect redirect) {
        boolean stale = redirect.epoch() < mAttemptTable.epoch();
        if (redirect.address().isEmpty() || stale || mRedirectCount >= MAX_REDIRECTS) {
            dropConnection(
                    stale ? "redirect of a former epoch" : "the partition has no reachable owner");
            return;
        }
        int redirects = mRedirectCount + 1;
        ControlLink link = mConnection.mLink;
        mConnection = null;
        link.close("redirected");
        mRedirectCount = redirects;
        mOwnerAddress = redirect.address();
        connect();
    }

    private void onGrant(Connection connection, SessionGrant grant) {
        if (connection.mGranted && grant.epoch() == connection.mEpoch) {
            return;
        }
        if (!mAttemptTable.acceptEpoch(grant.epoch())) {
            mRejectedMessages++;
            dropConnection("session of the former epoch " + grant.epoch());
            return;
        }
        if (connection.mGranted) {
            dropConnection("owner changed its epoch during the session");
            return;
        }
        connection.mGranted = true;
        connection.mEpoch = grant.epoch();
        connection.mLastAckNanos = mClock.monotonicNanos();
        mSessionTimer.recordGrant(connection.mOpenSentNanos, Duration.ofMillis(grant.ttlMillis()));
        mPermits.resetHeartbeats();
        mUpstreamStateReporter.sessionOpened();
        mBackoff.reset();
        LOG.info(
                "[agent] session granted for partition {} under epoch {}",
                grant.partition(),
                grant.epoch());
        heartbeat();
        mTaskDuty.sessionOpened();
    }

    private void onAck(Connection connection, HeartbeatAck ack) {
        if (!connection.mGranted || ack.epoch() != connection.mEpoch) {
            mRejectedMessages++;
            return;
        }
        Optional<Long> sent = mPermits.sentNanos(ack.seq());
        if (sent.isPresent()) {
            mSessionTimer.recordAcknowledgement(sent.get());
            mUpstreamStateReporter.acknowledged(ack.seq());
            connection.mLastAckNanos = mClock.monotonicNanos();
        }
    }

    private void onConfig(Connection connection, ConfigPush push) {
        if (mConfig.apply(push)) {
            LOG.info("[agent] configuration generation {} is in force", push.generation());
            mGenerationListener.accept(push.generation());
        }
        connection.mLink.send(new ConfigAck(mSettings.daemon(), mConfig.generation()));
    }

    /** Returns true if a command carries the epoch of the session; counts and logs it otherwise. */
    private boolean hasSessionEpoch(Connection connection, long epoch, Message command) {
        if (connection.mGranted && epoch == connection.mEpoch) {
            return true;
        }
        mRejectedMessages++;
        LOG.warn(
                "[agent] command {} with epoch {} rejected: the session has epoch {}",
                command.getClass().getSimpleName(),
                epoch,
                connection.mEpoch);
        return false;
    }
}
