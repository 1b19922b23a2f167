package org.knapweedbank.jobs.owner;

import java.io.IOException;
import java.time.Duration;
import org.knapweedbank.jobs.JobQueue;
import org.knapweedbank.jobs.QueueKey;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Codec of the queue settings in a stored job, which must stay runnable after its queue has been
 * removed from the configuration.
 */
final class QueueCodec {
    private QueueCodec() {}

    static void pack(MessagePacker packer, JobQueue queue) throws IOException {
        packer.packString(queue.key().host());
        packer.packString(queue.key().prefix());
        packer.packString(queue.service());
        packer.packInt(queue.priority());
        packer.packInt(queue.maxAttempts());
        packer.packDouble(queue.stretch());
        packer.packLong(queue.latencyTarget().toMillis());
        packer.packLong(queue.timeout().toMillis());
    }

    static JobQueue unpack(MessageUnpacker in) throws IOException {
        return new JobQueue(
                new QueueKey(in.unpackString(), in.unpackString()),
                in.unpackString(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackDouble(),
                Duration.ofMillis(in.unpackLong()),
                Duration.ofMillis(in.unpackLong()));
    }
}
