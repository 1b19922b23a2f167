package org.knapweedbank.wire;

import java.util.List;
import java.util.stream.Stream;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;

/** Provides one message of each type, with non-empty lists of nested records. */
final class SampleMessages {
    private static final TaskId TASK = TaskId.parse("rebalance/7");
    private static final DaemonId DAEMON = new DaemonId("agent-1");
    private static final DataCentreId DATA_CENTRE = new DataCentreId("quito-a");
    private static final Resources RESOURCES = new Resources(1500, 2048, 1);
    private static final LoadReport LOAD = new LoadReport(3, 1, 8, 5200, false);
    private static final UpstreamState UPSTREAM =
            new UpstreamState("preview", "127.0.0.1:9000", 8, 64, false, false, 4);
    private static final TaskHeld TASK_HELD =
            new TaskHeld(TASK, 2, RESOURCES, TaskReportState.CHECKPOINTED, "ckpt-1");

    private SampleMessages() {}

    static List<Message> all() {
        return Stream.concat(controlMessages().stream(), dataMessages().stream()).toList();
    }

    private static List<Message> controlMessages() {
        return List.of(
                new Hello(DaemonRole.AGENT, DAEMON, 5, DATA_CENTRE, 1, 1),
                new Welcome(DAEMON, 9, 1),
                new Goodbye("stopping"),
                new SessionOpen(
                        new VmId("vm-1"),
                        "r1",
                        "ec",
                        RESOURCES,
                        "10.0.0.1:7",
                        3,
                        List.of(TASK_HELD)),
                new SessionGrant(2, 11, 30_000),
                new Redirect("10.0.0.2:7400", 12),
                new Heartbeat(
                        4,
                        11,
                        -5L,
                        3,
                        List.of(UPSTREAM),
                        List.of(new UsageSample(TASK, 2, RESOURCES, 900, 1500))),
                new HeartbeatAck(4, 11, 3),
                new TaskListRequest(11),
                new TaskList(11, 4, List.of(TASK_HELD)),
                new StartTask(
                        11,
                        TASK,
                        3,
                        RESOURCES,
                        true,
                        List.of("run", "--fast"),
                        "ckpt-1",
                        new StartPermit(4, 900, 3)),
                new StopTask(11, TASK, 3),
                new CheckpointTask(11, TASK, 3),
                new ThrottleTask(11, TASK, 3, 0.25),
                new TaskReport(11, TASK, 3, TaskReportState.FAILED, "exit 1"),
                new ReportAck(TASK, 3, TaskReportState.FAILED),
                new ConfigPush(3, List.of(DATA_CENTRE), "{}"),
                new ConfigAck(DAEMON, 3));
    }

    private static List<Message> dataMessages() {
        List<HeaderField> headers = List.of(new HeaderField("Accept", "text/plain, \u00e9"));
        byte[] bytes = {0, 1, (byte) 0xff};
        return List.of(
                new Request(
                        1L << 40, "a-1", "key", false, "preview", "POST", "/x?y=1", headers, bytes,
                        10_000, true, "c-1"),
                new Cancel(1),
                new ResponseHead(1, 200, headers, true),
                new ResponseChunk(1, 0, bytes),
                new ResponseEnd(1, 1, 3, LOAD),
                new NotRun(1, "queue is full", LOAD),
                new OutcomeUnknown(1, "connection broke", LOAD),
                new StreamMoved(1),
                new AnswerQuery(2, "a-1", "preview", "key", 10_000),
                new UpstreamDelta(
                        2,
                        11,
                        true,
                        List.of(
                                new UpstreamRecord(
                                        DAEMON, 5, DATA_CENTRE, "10.0.0.1:7", UPSTREAM))),
                new StatusQuery(8),
                new StatusReply(
                        8,
                        List.of(
                                new DaemonStatus(
                                        DAEMON,
                                        DaemonRole.AGENT,
                                        DATA_CENTRE,
                                        5,
                                        3,
                                        true,
                                        "10.0.0.1:7",
                                        List.of(UPSTREAM)))),
                new OperatorCall(8, "ana", "GET", "/v1/jobs", bytes),
                new OperatorReply(8, 404, bytes));
    }
}
