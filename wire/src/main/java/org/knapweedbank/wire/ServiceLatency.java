package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Latency of a service on a VM. The agent measures it from the forwarding of a request to the end
 * of the response.
 *
 * @param service service name
 * @param p99Micros 99th percentile of the latency over the last seconds, in microseconds
 * @param samples number of requests in the sample
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ServiceLatency(String service, long p99Micros, int samples) {}
