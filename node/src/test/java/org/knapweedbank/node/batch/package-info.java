/**
 * Test of batch jobs under overload: the owner and agents with simulated workers, in virtual time.
 */
package org.knapweedbank.node.batch;
