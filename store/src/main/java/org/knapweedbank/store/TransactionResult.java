package org.knapweedbank.store;

import java.util.List;

/**
 * Result of a transaction that ran.
 *
 * @param compared true if all compares held
 * @param results one result for each operation that ran, in order
 * @param revision revision of the store after the transaction
 */
public record TransactionResult(boolean compared, List<OperationResult> results, long revision) {}
