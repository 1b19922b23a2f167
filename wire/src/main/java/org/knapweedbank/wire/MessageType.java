package org.knapweedbank.wire;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Table of the messages and their type bytes. A type byte is never reused. */
public enum MessageType {
    /** Frame of {@link Hello}. */
    HELLO(0x01, Hello.class, Traffic.CONTROL),
    /** Frame of {@link Welcome}. */
    WELCOME(0x02, Welcome.class, Traffic.CONTROL),
    /** Frame of {@link Goodbye}. */
    GOODBYE(0x03, Goodbye.class, Traffic.CONTROL),
    /** Frame of {@link SessionOpen}. */
    SESSION_OPEN(0x04, SessionOpen.class, Traffic.CONTROL),
    /** Frame of {@link SessionGrant}. */
    SESSION_GRANT(0x05, SessionGrant.class, Traffic.CONTROL),
    /** Frame of {@link Redirect}. */
    REDIRECT(0x06, Redirect.class, Traffic.CONTROL),
    /** Frame of {@link Heartbeat}. */
    HEARTBEAT(0x07, Heartbeat.class, Traffic.CONTROL),
    /** Frame of {@link HeartbeatAck}. */
    HEARTBEAT_ACK(0x08, HeartbeatAck.class, Traffic.CONTROL),
    /** Frame of {@link TaskListRequest}. */
    TASK_LIST_REQUEST(0x09, TaskListRequest.class, Traffic.CONTROL),
    /** Frame of {@link TaskList}. */
    TASK_LIST(0x0a, TaskList.class, Traffic.CONTROL),
    /** Frame of {@link StartTask}. */
    START_TASK(0x0b, StartTask.class, Traffic.CONTROL),
    /** Frame of {@link StopTask}. */
    STOP_TASK(0x0c, StopTask.class, Traffic.CONTROL),
    /** Frame of {@link CheckpointTask}. */
    CHECKPOINT_TASK(0x0d, CheckpointTask.class, Traffic.CONTROL),
    /** Frame of {@link ThrottleTask}. */
    THROTTLE_TASK(0x0e, ThrottleTask.class, Traffic.CONTROL),
    /** Frame of {@link TaskReport}. */
    TASK_REPORT(0x0f, TaskReport.class, Traffic.CONTROL),
    /** Frame of {@link ReportAck}. */
    REPORT_ACK(0x10, ReportAck.class, Traffic.CONTROL),
    /** Frame of {@link ConfigPush}. */
    CONFIG_PUSH(0x11, ConfigPush.class, Traffic.CONTROL),
    /** Frame of {@link ConfigAck}. */
    CONFIG_ACK(0x12, ConfigAck.class, Traffic.CONTROL),
    /** Frame of {@link UpstreamDelta}. */
    UPSTREAM_DELTA(0x13, UpstreamDelta.class, Traffic.CONTROL),
    /** Frame of {@link StatusQuery}. */
    STATUS_QUERY(0x14, StatusQuery.class, Traffic.CONTROL),
    /** Frame of {@link StatusReply}. */
    STATUS_REPLY(0x15, StatusReply.class, Traffic.CONTROL),
    /** Frame of {@link OperatorCall}. */
    OPERATOR_CALL(0x16, OperatorCall.class, Traffic.CONTROL),
    /** Frame of {@link OperatorReply}. */
    OPERATOR_REPLY(0x17, OperatorReply.class, Traffic.CONTROL),
    /** Frame of {@link Request}. */
    REQUEST(0x40, Request.class, Traffic.DATA),
    /** Frame of {@link Cancel}. */
    CANCEL(0x41, Cancel.class, Traffic.DATA),
    /** Frame of {@link ResponseHead}. */
    RESPONSE_HEAD(0x42, ResponseHead.class, Traffic.DATA),
    /** Frame of {@link ResponseChunk}. */
    RESPONSE_CHUNK(0x43, ResponseChunk.class, Traffic.DATA),
    /** Frame of {@link ResponseEnd}. */
    RESPONSE_END(0x44, ResponseEnd.class, Traffic.DATA),
    /** Frame of {@link NotRun}. */
    NOT_RUN(0x45, NotRun.class, Traffic.DATA),
    /** Frame of {@link OutcomeUnknown}. */
    OUTCOME_UNKNOWN(0x46, OutcomeUnknown.class, Traffic.DATA),
    /** Frame of {@link StreamMoved}. */
    STREAM_MOVED(0x47, StreamMoved.class, Traffic.DATA),
    /** Frame of {@link AnswerQuery}. */
    ANSWER_QUERY(0x48, AnswerQuery.class, Traffic.DATA);

    private static final MessageType[] BY_CODE = byCode();
    private static final Map<Class<?>, MessageType> BY_CLASS =
            Arrays.stream(values())
                    .collect(Collectors.toMap(MessageType::messageClass, Function.identity()));

    private final byte mCode;
    private final Class<? extends Message> mMessageClass;
    private final Traffic mTraffic;

    MessageType(int code, Class<? extends Message> messageClass, Traffic traffic) {
        mCode = (byte) code;
        mMessageClass = messageClass;
        mTraffic = traffic;
    }

    /**
     * Finds the type of a message.
     *
     * @param message the message
     * @return its type
     */
    public static MessageType of(Message message) {
        return BY_CLASS.get(message.getClass());
    }

    /**
     * Finds a type by its byte.
     *
     * @param code the type byte
     * @return the type
     * @throws FrameException of kind {@code TYPE} when no message has this byte
     */
    public static MessageType of(byte code) throws FrameException {
        MessageType type = BY_CODE[Byte.toUnsignedInt(code)];
        if (type == null) {
            throw new FrameException(
                    FrameException.Kind.TYPE, "unknown message type " + Byte.toUnsignedInt(code));
        }
        return type;
    }

    /**
     * Type byte on the wire.
     *
     * @return the byte
     */
    public byte code() {
        return mCode;
    }

    /**
     * Class of the message.
     *
     * @return the record class
     */
    public Class<? extends Message> messageClass() {
        return mMessageClass;
    }

    /**
     * Class of traffic.
     *
     * @return control or data
     */
    public Traffic traffic() {
        return mTraffic;
    }

    private static MessageType[] byCode() {
        MessageType[] table = new MessageType[256];
        for (MessageType type : values()) {
            table[Byte.toUnsignedInt(type.mCode)] = type;
        }
        return table;
    }
}
