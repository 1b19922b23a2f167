/** The agent beside a worker: leases, orders, ends and the pace of fillers. */
package org.knapweedbank.node.agent;
