package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A message between two daemons. On the wire each message is an array of its components; a newer
 * protocol version may only append components.
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
