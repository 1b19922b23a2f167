package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Latency of a service on a VM, measured by the agent from the passing on of a request to the end
 * of the answer.
 *
 * @param service service name
 * @param p99Micros p99 over the last seconds, in microseconds
 * @param samples number of requests measured
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ServiceLatency(String service, long p99Micros, int samples) {}
