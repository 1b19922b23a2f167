/** Batch work under overload: the owner and its agents over simulated workers, in virtual time. */
package org.knapweedbank.node.batch;
