package org.knapweedbank.wire;

import java.util.List;

/**
 * Renews the control session of a worker VM and reports its state to the owner of the partition.
 *
 * @param seq sequence number within the session, from 1
 * @param epoch epoch of the owner that the agent has accepted
 * @param taskDigest {@link TaskDigest} of the attempts that the VM holds
 * @param generation configuration generation in force at the agent
 * @param upstreams upstreams on the VM whose state has changed since the last heartbeat
 * @param usage usage samples since the last heartbeat
 * @param latencies latencies of the services on the VM; empty in most heartbeats
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
    /** Makes unmodifiable copies of the lists. */
    public Heartbeat {
        upstreams = List.copyOf(upstreams);
        usage = List.copyOf(usage);
        latencies = List.copyOf(latencies);
    }

    /**
     * Creates a heartbeat without latencies.
     *
     * @param seq sequence number within the session, from 1
     * @param epoch epoch of the owner that the agent has accepted
     * @param taskDigest {@link TaskDigest} of the attempts that the VM holds
     * @param generation configuration generation in force at the agent
     * @param upstreams upstreams on the VM whose state has changed since the last heartbeat
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
