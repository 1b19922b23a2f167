/**
 * Agent, which runs on the VM of each worker. It renews the worker's lease, passes on the owner's
 * orders, reports the ends of runs and throttles batch tasks that share the VM with serving tasks.
 */
package org.knapweedbank.node.agent;
