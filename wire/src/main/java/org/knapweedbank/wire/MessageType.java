package org.knapweedbank.wire;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Message types with their type bytes. The type byte of a removed message is never reused. */
public enum MessageType {
    /** Type of {@link Hello}. */
    HELLO(0x01, Hello.class, TrafficClass.CONTROL),
    /** Type of {@link Welcome}. */
    WELCOME(0x02, Welcome.class, TrafficClass.CONTROL),
    /** Type of {@link Goodbye}. */
    GOODBYE(0x03, Goodbye.class, TrafficClass.CONTROL),
    /** Type of {@link SessionOpen}. */
    SESSION_OPEN(0x04, SessionOpen.class, TrafficClass.CONTROL),
    /** Type of {@link SessionGrant}. */
    SESSION_GRANT(0x05, SessionGrant.class, TrafficClass.CONTROL),
    /** Type of {@link Redirect}. */
    REDIRECT(0x06, Redirect.class, TrafficClass.CONTROL),
    /** Type of {@link Heartbeat}. */
    HEARTBEAT(0x07, Heartbeat.class, TrafficClass.CONTROL),
    /** Type of {@link HeartbeatAck}. */
    HEARTBEAT_ACK(0x08, HeartbeatAck.class, TrafficClass.CONTROL),
    /** Type of {@link TaskListRequest}. */
    TASK_LIST_REQUEST(0x09, TaskListRequest.class, TrafficClass.CONTROL),
    /** Type of {@link TaskList}. */
    TASK_LIST(0x0a, TaskList.class, TrafficClass.CONTROL),
    /** Type of {@link StartTask}. */
    START_TASK(0x0b, StartTask.class, TrafficClass.CONTROL),
    /** Type of {@link StopTask}. */
    STOP_TASK(0x0c, StopTask.class, TrafficClass.CONTROL),
    /** Type of {@link CheckpointTask}. */
    CHECKPOINT_TASK(0x0d, CheckpointTask.class, TrafficClass.CONTROL),
    /** Type of {@link ThrottleTask}. */
    THROTTLE_TASK(0x0e, ThrottleTask.class, TrafficClass.CONTROL),
    /** Type of {@link TaskReport}. */
    TASK_REPORT(0x0f, TaskReport.class, TrafficClass.CONTROL),
    /** Type of {@link ReportAck}. */
    REPORT_ACK(0x10, ReportAck.class, TrafficClass.CONTROL),
    /** Type of {@link ConfigPush}. */
    CONFIG_PUSH(0x11, ConfigPush.class, TrafficClass.CONTROL),
    /** Type of {@link ConfigAck}. */
    CONFIG_ACK(0x12, ConfigAck.class, TrafficClass.CONTROL),
    /** Type of {@link UpstreamDelta}. */
    UPSTREAM_DELTA(0x13, UpstreamDelta.class, TrafficClass.CONTROL),
    /** Type of {@link StatusQuery}. */
    STATUS_QUERY(0x14, StatusQuery.class, TrafficClass.CONTROL),
    /** Type of {@link StatusReply}. */
    STATUS_REPLY(0x15, StatusReply.class, TrafficClass.CONTROL),
    /** Type of {@link OperatorCall}. */
    OPERATOR_CALL(0x16, OperatorCall.class, TrafficClass.CONTROL),
    /** Type of {@link OperatorReply}. */
    OPERATOR_REPLY(0x17, OperatorReply.class, TrafficClass.CONTROL),
    /** Type of {@link Request}. */
    REQUEST(0x40, Request.class, TrafficClass.DATA),
    /** Type of {@link Cancel}. */
    CANCEL(0x41, Cancel.class, TrafficClass.DATA),
    /** Type of {@link ResponseHead}. */
    RESPONSE_HEAD(0x42, ResponseHead.class, TrafficClass.DATA),
    /** Type of {@link ResponseChunk}. */
    RESPONSE_CHUNK(0x43, ResponseChunk.class, TrafficClass.DATA),
    /** Type of {@link ResponseEnd}. */
    RESPONSE_END(0x44, ResponseEnd.class, TrafficClass.DATA),
    /** Type of {@link NotRun}. */
    NOT_RUN(0x45, NotRun.class, TrafficClass.DATA),
    /** Type of {@link OutcomeUnknown}. */
    OUTCOME_UNKNOWN(0x46, OutcomeUnknown.class, TrafficClass.DATA),
    /** Type of {@link StreamMoved}. */
    STREAM_MOVED(0x47, StreamMoved.class, TrafficClass.DATA),
    /** Type of {@link AnswerQuery}. */
    ANSWER_QUERY(0x48, AnswerQuery.class, TrafficClass.DATA);

    private static final MessageType[] TYPES_BY_CODE = typesByCode();
    private static final Map<Class<?>, MessageType> TYPES_BY_CLASS =
            Arrays.stream(values())
                    .collect(Collectors.toMap(MessageType::messageClass, Function.identity()));

    private final byte mCode;
    private final Class<? extends Message> mMessageClass;
    private final TrafficClass mTraffic;

    MessageType(int code, Class<? extends Message> messageClass, TrafficClass traffic) {
        mCode = (byte) code;
        mMessageClass = messageClass;
        mTraffic = traffic;
    }

    /**
     * Returns the type of a message.
     *
     * @param message the message
     * @return type of the message
     */
    public static MessageType of(Message message) {
        return TYPES_BY_CLASS.get(message.getClass());
    }

    /**
     * Returns the message type with a given type byte.
     *
     * @param code type byte of a frame
     * @return the message type
     * @throws FrameException of kind {@code TYPE} if the type byte is unknown
     */
    public static MessageType of(byte code) throws FrameException {
        MessageType type = TYPES_BY_CODE[Byte.toUnsignedInt(code)];
        if (type == null) {
            throw new FrameException(
                    FrameException.Kind.TYPE, "unknown message type " + Byte.toUnsignedInt(code));
        }
        return type;
    }

    /**
     * Returns the type byte in frames.
     *
     * @return the type byte
     */
    public byte code() {
        return mCode;
    }

    /**
     * Returns the class of the messages of this type.
     *
     * @return the record class
     */
    public Class<? extends Message> messageClass() {
        return mMessageClass;
    }

    /**
     * Returns the traffic class under which messages of this type are counted.
     *
     * @return control or data traffic
     */
    public TrafficClass traffic() {
        return mTraffic;
    }

    private static MessageType[] typesByCode() {
        MessageType[] table = new MessageType[256];
        for (MessageType type : values()) {
            table[Byte.toUnsignedInt(type.mCode)] = type;
        }
        return table;
    }
}
