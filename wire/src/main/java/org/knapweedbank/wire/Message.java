package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Message between two daemons. Each message is encoded as the array of its record components. A
 * newer protocol version may only append components.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public sealed interface Message
        permits Hello,
                Welcome,
                Goodbye,
                SessionOpen,
                SessionGrant,
                Redirect,
                Heartbeat,
                HeartbeatAck,
                TaskListRequest,
                TaskList,
                StartTask,
                StopTask,
                CheckpointTask,
                ThrottleTask,
                TaskReport,
                ReportAck,
                ConfigPush,
                ConfigAck,
                Request,
                Cancel,
                ResponseHead,
                ResponseChunk,
                ResponseEnd,
                NotRun,
                OutcomeUnknown,
                StreamMoved,
                AnswerQuery,
                UpstreamDelta,
                StatusQuery,
                StatusReply,
                OperatorCall,
                OperatorReply {}
