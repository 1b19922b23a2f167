package org.knapweedbank.wire;

import java.util.List;

/**
 * Renews the session of a VM.
 *
 * @param seq sequence number within the session, from 1
 * @param epoch epoch that the agent accepts
 * @param taskDigest digest of the attempts that the VM holds
 * @param generation configuration generation in force at the agent
 * @param upstreams upstreams beside the agent whose state has changed since the last heartbeat
 * @param usage usage samples since the last heartbeat
 * @param latencies latency of the services on the VM, empty in most heartbeats
 */
public record Heartbeat(
        long seq,
        long epoch,
        long taskDigest,
        long generation,
        List<UpstreamState> upstreams,
        List<UsageSample> usage,
        List<ServiceLatency> latencies)
        implements Message {
    /** Copies the lists. */
    public Heartbeat {
        upstreams = List.copyOf(upstreams);
        usage = List.copyOf(usage);
        latencies = List.copyOf(latencies);
    }

    /**
     * A heartbeat without latencies.
     *
     * @param seq sequence number within the session, from 1
     * @param epoch epoch that the agent accepts
     * @param taskDigest digest of the attempts that the VM holds
     * @param generation configuration generation in force at the agent
     * @param upstreams changed upstreams
     * @param usage usage samples since the last heartbeat
     */
    public Heartbeat(
            long seq,
            long epoch,
            long taskDigest,
            long generation,
            List<UpstreamState> upstreams,
            List<UsageSample> usage) {
        this(seq, epoch, taskDigest, generation, upstreams, usage, List.of());
    }
}
