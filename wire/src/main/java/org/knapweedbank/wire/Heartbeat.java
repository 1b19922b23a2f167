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
 */
public record Heartbeat(
        long seq,
        long epoch,
        long taskDigest,
        long generation,
        List<UpstreamState> upstreams,
        List<UsageSample> usage)
        implements Message {
    /** Copies the lists. */
    public Heartbeat {
        upstreams = List.copyOf(upstreams);
        usage = List.copyOf(usage);
    }
}
