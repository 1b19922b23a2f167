package org.knapweedbank.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.time.ManualClock;
import org.knapweedbank.wire.ConfigPush;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.HeartbeatAck;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.ReportAck;
import org.knapweedbank.wire.SessionGrant;
import org.knapweedbank.wire.StartPermit;
import org.knapweedbank.wire.StartTask;
import org.knapweedbank.wire.TaskReport;

/**
 * Test fixture: the session and task components of an agent with a manual clock, a fake worker and
 * a recorded control connection.
 */
final class ControlFixture {
    static final TaskId TASK = TaskId.parse("job/1");
    static final Resources SIZE = new Resources(1000, 100, 0);
    static final DataCentreId DATA_CENTRE = new DataCentreId("a");

    final ManualClock mClock = new ManualClock();
    final FakeWorker mWorker = new FakeWorker();
    final AttemptTable mAttemptTable = new AttemptTable(new Resources(2000, 1000, 0), mClock);
    final PermitCheck mPermits = new PermitCheck(mClock);
    final SessionTimer mSessionTimer = new SessionTimer(mClock);
    final ConfigState mConfig = new ConfigState(DATA_CENTRE);
    final List<String> mDialledAddresses = new ArrayList<>();
    final List<Message> mSentMessages = new ArrayList<>();
    final List<Long> mGenerations = new ArrayList<>();
    final TaskDuty mTasks;
    final SessionDuty mSession;
    ControlLinkListener mListener;
    boolean mLinkClosed;
    boolean mAcknowledgesHeartbeats = true;

    private final class Link implements ControlLink {
        @Override
        public boolean send(Message message) {
            mSentMessages.add(message);
            return true;
        }

        @Override
        public void close(String reason) {
            mLinkClosed = true;
        }
    }

    ControlFixture() {
        DutyExecutor direct =
                event -> {
                    event.run();
                    return true;
                };
        mTasks =
                new TaskDuty(
                        mAttemptTable,
                        mWorker,
                        mPermits,
                        mSessionTimer,
                        mConfig,
                        mClock,
                        direct,
                        report -> session().report(report));
        mSession =
                new SessionDuty(
                        settings(),
                        mClock,
                        this::dial,
                        mAttemptTable,
                        mPermits,
                        mSessionTimer,
                        mConfig,
                        mTasks,
                        new UsageReporter(mWorker, mClock, direct),
                        new Backoff(new Random(7)),
                        mGenerations::add);
    }

    static AgentSettings settings() {
        return new AgentSettings(
                new DaemonId("agent-1"),
                new VmId("vm-1"),
                "ec",
                DATA_CENTRE,
                "r1",
                new Resources(2000, 1000, 0),
                "127.0.0.1",
                0,
                0,
                List.of("seed-1:1", "seed-2:1"));
    }

    /** Connects, grants a session under the given epoch and pushes configuration generation 1. */
    ControlFixture openSession(long epoch) {
        connect();
        mListener.message(new SessionGrant(0, epoch, 30_000));
        mListener.message(new ConfigPush(1, List.of(), "{}"));
        acknowledgeLastHeartbeat();
        return this;
    }

    void connect() {
        step();
        mLinkClosed = false;
        mListener.opened(new Link());
        step();
    }

    void step() {
        mTasks.step();
        mSession.step();
    }

    /**
     * Advances the clock in steps of 100 ms and runs the agent in each step. Heartbeats are
     * acknowledged unless the test has switched that off.
     */
    void advance(Duration time) {
        for (long millis = 0; millis < time.toMillis(); millis += 100) {
            mClock.advance(Duration.ofMillis(100));
            step();
            if (mAcknowledgesHeartbeats) {
                acknowledgeLastHeartbeat();
            }
        }
    }

    void acknowledgeLastHeartbeat() {
        Heartbeat last = lastHeartbeat();
        mListener.message(new HeartbeatAck(last.seq(), last.epoch(), 1));
    }

    Heartbeat lastHeartbeat() {
        return sent(Heartbeat.class).getLast();
    }

    StartTask start(long epoch, int attempt, boolean service) {
        return start(epoch, TASK, attempt, service);
    }

    StartTask start(long epoch, TaskId task, int attempt, boolean service) {
        StartPermit permit = new StartPermit(lastHeartbeat().seq(), 500, 1);
        return new StartTask(epoch, task, attempt, SIZE, service, List.of("run"), "", permit);
    }

    <T extends Message> List<T> sent(Class<T> type) {
        return mSentMessages.stream().filter(type::isInstance).map(type::cast).toList();
    }

    TaskReport lastReport() {
        return sent(TaskReport.class).getLast();
    }

    void ackLastReport() {
        TaskReport report = lastReport();
        mListener.message(new ReportAck(report.task(), report.attempt(), report.state()));
    }

    private SessionDuty session() {
        return mSession;
    }

    private void dial(String address, ControlLinkListener listener) {
        mDialledAddresses.add(address);
        mListener = listener;
    }
}
