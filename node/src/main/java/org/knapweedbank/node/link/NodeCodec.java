package org.knapweedbank.node.link;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.knapweedbank.jobs.AgentReport;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.EndedRun;
import org.knapweedbank.jobs.JobState;
import org.knapweedbank.jobs.QueueKey;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.SubmissionCodec;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.CallRequest;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * MessagePack codec of the messages between processes. Fields are packed one by one, because a
 * reflective mapper would double the start-up time of a process on a small VM.
 */
final class NodeCodec {
    private static final int AGENT_HELLO = 1;
    private static final int ENTRY_HELLO = 2;
    private static final int WELCOME = 3;
    private static final int REDIRECT = 4;
    private static final int PING = 5;
    private static final int PONG = 6;
    private static final int REPORT = 7;
    private static final int PROGRESS = 8;
    private static final int ENDS = 9;
    private static final int OUTCOME = 10;
    private static final int WORKER_UPDATE = 11;
    private static final int NO_WORKER = 12;
    private static final int START = 13;
    private static final int STOP = 14;
    private static final int ENDS_STORED = 15;
    private static final int CALL = 16;
    private static final int REPLY = 17;
    private static final int DESCRIBE = 18;
    private static final int SUPERSEDED = 19;
    private static final int TAKE_OVER = 20;
    private static final int TERM_QUERY = 21;
    private static final int TERM_ANSWER = 22;
    private static final int WITHDRAWAL = 23;
    private static final int REGISTRATION = 24;

    /** Buffer of an encoder in bytes; most messages are smaller, larger ones use several. */
    private static final int ENCODER_BUFFER_BYTES = 512;

    /**
     * Buffer of a decoder for strings that are split over two parts of the input, in characters.
     */
    private static final int DECODER_BUFFER_CHARS = 64;

    private static final MessagePack.PackerConfig PACKER =
            new MessagePack.PackerConfig().withBufferSize(ENCODER_BUFFER_BYTES);
    private static final MessagePack.UnpackerConfig UNPACKER =
            new MessagePack.UnpackerConfig().withStringDecoderBufferSize(DECODER_BUFFER_CHARS);

    private NodeCodec() {}

    static byte[] encode(NodeMessage message) {
        try (MessageBufferPacker out = PACKER.newBufferPacker()) {
            pack(out, message);
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode message " + message, e);
        }
    }

    static NodeMessage decode(byte[] bytes) throws IOException {
        try (MessageUnpacker in = UNPACKER.newUnpacker(bytes)) {
            return unpack(in);
        } catch (RuntimeException e) {
            throw new IOException("malformed message: " + e.getMessage(), e);
        }
    }

    private static void pack(MessagePacker out, NodeMessage message) throws IOException {
        switch (message) {
            case NodeMessage.AgentHello m -> {
                out.packInt(AGENT_HELLO)
                        .packString(m.agent().value())
                        .packLong(m.processStartMillis());
                out.packString(m.dataCentre().value());
            }
            case NodeMessage.EntryHello m -> out.packInt(ENTRY_HELLO).packString(m.entry().value());
            case NodeMessage.Welcome m ->
                    out.packInt(WELCOME).packLong(m.term()).packBoolean(m.takesRegistrations());
            case NodeMessage.Redirect m -> out.packInt(REDIRECT).packString(m.ownerAddress());
            case NodeMessage.Superseded m ->
                    out.packInt(SUPERSEDED).packLong(m.term()).packString(m.ownerAddress());
            case NodeMessage.TakeOver m -> out.packInt(TAKE_OVER).packLong(m.term());
            case NodeMessage.TermQuery m ->
                    out.packInt(TERM_QUERY).packLong(m.term()).packLong(m.number());
            case NodeMessage.TermAnswer m -> out.packInt(TERM_ANSWER).packLong(m.number());
            case NodeMessage.Registration m ->
                    out.packInt(REGISTRATION).packLong(m.revision()).packLong(m.registeredMillis());
            case NodeMessage.Withdrawal m -> out.packInt(WITHDRAWAL);
            case NodeMessage.Ping m ->
                    packOptionalWorker(out.packInt(PING).packLong(m.number()), m.worker());
            case NodeMessage.Pong m -> out.packInt(PONG).packLong(m.number());
            case NodeMessage.Report m ->
                    packReport(out.packInt(REPORT).packLong(m.grant()), m.report());
            case NodeMessage.Progress m -> {
                packWorker(out.packInt(PROGRESS).packLong(m.grant()), m.worker());
                packRunning(out, m.starting());
                packRunning(out, m.running());
                packRunning(out, m.missing());
            }
            case NodeMessage.Ends m -> {
                packWorker(out.packInt(ENDS), m.worker());
                packEnds(out, m.ends());
            }
            case NodeMessage.Outcome m -> {
                packTask(out.packInt(OUTCOME), m.task());
                out.packLong(m.run()).packInt(m.outcome().ordinal());
            }
            case NodeMessage.WorkerUpdate m -> packInfo(out.packInt(WORKER_UPDATE), m.worker());
            case NodeMessage.NoWorker m -> out.packInt(NO_WORKER).packString(m.reason());
            case NodeMessage.Start m -> {
                packWorker(out.packInt(START), m.worker());
                packOrder(out.packLong(m.permit()), m.order());
            }
            case NodeMessage.Stop m -> packTask(out.packInt(STOP), m.task()).packLong(m.run());
            case NodeMessage.Describe m -> {
                packTask(out.packInt(DESCRIBE), m.task()).packLong(m.run());
                packProfile(out, m.profile());
            }
            case NodeMessage.EndsStored m -> {
                packWorker(out.packInt(ENDS_STORED), m.worker());
                out.packLong(m.number());
            }
            case NodeMessage.Call m ->
                    packCall(out.packInt(CALL).packLong(m.number()), m.request());
            case NodeMessage.Reply m ->
                    packAnswer(out.packInt(REPLY).packLong(m.number()), m.answer());
        }
    }

    private static NodeMessage unpack(MessageUnpacker in) throws IOException {
        int type = in.unpackInt();
        return switch (type) {
            case AGENT_HELLO ->
                    new NodeMessage.AgentHello(
                            new DaemonId(in.unpackString()),
                            in.unpackLong(),
                            new DataCentreId(in.unpackString()));
            case ENTRY_HELLO -> new NodeMessage.EntryHello(new DaemonId(in.unpackString()));
            case WELCOME ->
                    new NodeMessage.Welcome(in.unpackLong(), in.hasNext() && in.unpackBoolean());
            case REDIRECT -> new NodeMessage.Redirect(in.unpackString());
            case SUPERSEDED -> new NodeMessage.Superseded(in.unpackLong(), in.unpackString());
            case TAKE_OVER -> new NodeMessage.TakeOver(in.unpackLong());
            case TERM_QUERY -> new NodeMessage.TermQuery(in.unpackLong(), in.unpackLong());
            case TERM_ANSWER -> new NodeMessage.TermAnswer(in.unpackLong());
            case REGISTRATION -> new NodeMessage.Registration(in.unpackLong(), in.unpackLong());
            case WITHDRAWAL -> new NodeMessage.Withdrawal();
            case PING -> new NodeMessage.Ping(in.unpackLong(), unpackOptionalWorker(in));
            case PONG -> new NodeMessage.Pong(in.unpackLong());
            case REPORT -> new NodeMessage.Report(in.unpackLong(), unpackReport(in));
            case PROGRESS ->
                    new NodeMessage.Progress(
                            in.unpackLong(),
                            unpackWorker(in),
                            unpackRunning(in),
                            unpackRunning(in),
                            in.hasNext() ? unpackRunning(in) : List.of());
            case ENDS -> new NodeMessage.Ends(unpackWorker(in), unpackEnds(in));
            case OUTCOME ->
                    new NodeMessage.Outcome(
                            unpackTask(in), in.unpackLong(), StartOutcome.values()[in.unpackInt()]);
            case WORKER_UPDATE -> new NodeMessage.WorkerUpdate(unpackInfo(in));
            case NO_WORKER -> new NodeMessage.NoWorker(in.unpackString());
            case START -> new NodeMessage.Start(unpackWorker(in), in.unpackLong(), unpackOrder(in));
            case STOP -> new NodeMessage.Stop(unpackTask(in), in.unpackLong());
            case DESCRIBE ->
                    new NodeMessage.Describe(unpackTask(in), in.unpackLong(), unpackProfile(in));
            case ENDS_STORED -> new NodeMessage.EndsStored(unpackWorker(in), in.unpackLong());
            case CALL -> new NodeMessage.Call(in.unpackLong(), unpackCall(in));
            case REPLY -> new NodeMessage.Reply(in.unpackLong(), unpackAnswer(in));
            default -> throw new IOException("unknown message type " + type);
        };
    }

    private static MessagePacker packTask(MessagePacker out, TaskName task) throws IOException {
        out.packString(task.job().value()).packInt(task.occurrence());
        out.packInt(task.step()).packInt(task.index());
        return out;
    }

    private static TaskName unpackTask(MessageUnpacker in) throws IOException {
        return new TaskName(
                new JobId(in.unpackString()), in.unpackInt(), in.unpackInt(), in.unpackInt());
    }

    private static void packWorker(MessagePacker out, WorkerId worker) throws IOException {
        out.packString(worker.id()).packLong(worker.incarnation());
    }

    private static WorkerId unpackWorker(MessageUnpacker in) throws IOException {
        return new WorkerId(in.unpackString(), in.unpackLong());
    }

    private static void packOptionalWorker(MessagePacker out, Optional<WorkerId> worker)
            throws IOException {
        out.packBoolean(worker.isPresent());
        if (worker.isPresent()) {
            packWorker(out, worker.get());
        }
    }

    private static Optional<WorkerId> unpackOptionalWorker(MessageUnpacker in) throws IOException {
        return in.unpackBoolean() ? Optional.of(unpackWorker(in)) : Optional.empty();
    }

    private static void packInfo(MessagePacker out, WorkerInfo info) throws IOException {
        packWorker(out, info.id());
        out.packString(info.service());
        out.packLong(info.capacity().milliCpu()).packLong(info.capacity().memoryMb());
        out.packInt(info.capacity().accelerators());
        out.packArrayHeader(info.labels().size());
        for (String label : info.labels()) {
            out.packString(label);
        }
        out.packString(info.rack()).packBoolean(info.draining());
    }

    private static WorkerInfo unpackInfo(MessageUnpacker in) throws IOException {
        WorkerId id = unpackWorker(in);
        String service = in.unpackString();
        Resources capacity = new Resources(in.unpackLong(), in.unpackLong(), in.unpackInt());
        int count = in.unpackArrayHeader();
        List<String> labels = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            labels.add(in.unpackString());
        }
        return new WorkerInfo(id, service, capacity, labels, in.unpackString(), in.unpackBoolean());
    }

    private static void packReport(MessagePacker out, AgentReport report) throws IOException {
        out.packBoolean(report.worker().isPresent());
        if (report.worker().isPresent()) {
            packInfo(out, report.worker().get());
        }
        out.packBoolean(report.listed());
        packRunning(out, report.starting());
        packRunning(out, report.running());
        packEnds(out, report.ended());
        out.packBoolean(report.excessLeaseRuledOut());
    }

    private static AgentReport unpackReport(MessageUnpacker in) throws IOException {
        Optional<WorkerInfo> worker =
                in.unpackBoolean() ? Optional.of(unpackInfo(in)) : Optional.empty();
        return new AgentReport(
                worker,
                in.unpackBoolean(),
                unpackRunning(in),
                unpackRunning(in),
                unpackEnds(in),
                unpackAddedBoolean(in));
    }

    /** Unpacks a last field that earlier versions do not send; false without it. */
    private static boolean unpackAddedBoolean(MessageUnpacker in) throws IOException {
        return in.hasNext() && in.unpackBoolean();
    }

    private static void packRunning(MessagePacker out, List<RunStatus> rows) throws IOException {
        out.packArrayHeader(rows.size());
        for (RunStatus row : rows) {
            packTask(out, row.task()).packLong(row.run());
            out.packString(row.checkpoint()).packInt(row.percent()).packLong(row.measuredValue());
        }
    }

    private static List<RunStatus> unpackRunning(MessageUnpacker in) throws IOException {
        int count = in.unpackArrayHeader();
        List<RunStatus> rows = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            rows.add(
                    new RunStatus(
                            unpackTask(in),
                            in.unpackLong(),
                            in.unpackString(),
                            in.unpackInt(),
                            in.unpackLong()));
        }
        return rows;
    }

    private static void packEnds(MessagePacker out, List<EndedRun> ends) throws IOException {
        out.packArrayHeader(ends.size());
        for (EndedRun end : ends) {
            packTask(out.packLong(end.number()), end.task()).packLong(end.run());
            out.packInt(end.kind().ordinal()).packString(end.checkpoint());
        }
    }

    private static List<EndedRun> unpackEnds(MessageUnpacker in) throws IOException {
        int count = in.unpackArrayHeader();
        List<EndedRun> ends = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ends.add(
                    new EndedRun(
                            in.unpackLong(),
                            unpackTask(in),
                            in.unpackLong(),
                            EndKind.values()[in.unpackInt()],
                            in.unpackString()));
        }
        return ends;
    }

    private static void packOrder(MessagePacker out, StartOrder order) throws IOException {
        packTask(out, order.task()).packLong(order.run());
        out.packString(order.spec()).packString(order.checkpoint());
        packProfile(out, order.profile());
    }

    private static void packProfile(MessagePacker out, RunProfile profile) throws IOException {
        out.packDouble(profile.pressure()).packDouble(profile.rank());
        out.packLong(profile.latencyObjective().toMillis());
    }

    private static RunProfile unpackProfile(MessageUnpacker in) throws IOException {
        return new RunProfile(
                in.unpackDouble(), in.unpackDouble(), Duration.ofMillis(in.unpackLong()));
    }

    private static StartOrder unpackOrder(MessageUnpacker in) throws IOException {
        return new StartOrder(
                unpackTask(in),
                in.unpackLong(),
                in.unpackString(),
                in.unpackString(),
                unpackProfile(in));
    }

    private static void packCall(MessagePacker out, CallRequest call) throws IOException {
        out.packString(call.queue().host()).packString(call.queue().prefix());
        switch (call) {
            case CallRequest.Submit c ->
                    SubmissionCodec.pack(out.packString("submit"), c.submission());
            case CallRequest.Read c -> out.packString("read").packString(c.job().value());
            case CallRequest.Cancel c -> out.packString("cancel").packString(c.job().value());
            case CallRequest.Count c -> out.packString("count");
        }
    }

    private static CallRequest unpackCall(MessageUnpacker in) throws IOException {
        QueueKey queue = new QueueKey(in.unpackString(), in.unpackString());
        String kind = in.unpackString();
        return switch (kind) {
            case "submit" -> new CallRequest.Submit(queue, SubmissionCodec.unpack(in));
            case "read" -> new CallRequest.Read(queue, new JobId(in.unpackString()));
            case "cancel" -> new CallRequest.Cancel(queue, new JobId(in.unpackString()));
            case "count" -> new CallRequest.Count(queue);
            default -> throw new IOException("unknown kind of call: " + kind);
        };
    }

    private static void packAnswer(MessagePacker out, CallAnswer answer) throws IOException {
        switch (answer) {
            case CallAnswer.Accepted a -> out.packString("accepted");
            case CallAnswer.Refused a -> {
                out.packString("refused").packString(a.reason()).packBoolean(a.overload());
                out.packLong(a.retryAfter().toMillis());
            }
            case CallAnswer.OutcomeUnknown a -> out.packString("unknown").packString(a.reason());
            case CallAnswer.NoSuchJob a -> out.packString("gone");
            case CallAnswer.State a -> out.packString("state").packInt(a.state().ordinal());
            case CallAnswer.Pending a -> out.packString("pending").packLong(a.count());
        }
    }

    private static CallAnswer unpackAnswer(MessageUnpacker in) throws IOException {
        String kind = in.unpackString();
        return switch (kind) {
            case "accepted" -> new CallAnswer.Accepted();
            case "refused" ->
                    new CallAnswer.Refused(
                            in.unpackString(),
                            in.unpackBoolean(),
                            Duration.ofMillis(in.unpackLong()));
            case "unknown" -> new CallAnswer.OutcomeUnknown(in.unpackString());
            case "gone" -> new CallAnswer.NoSuchJob();
            case "state" -> new CallAnswer.State(JobState.values()[in.unpackInt()]);
            case "pending" -> new CallAnswer.Pending(in.unpackLong());
            default -> throw new IOException("unknown kind of answer: " + kind);
        };
    }
}
