/** Journal of a partition: log segments with group commit, and snapshots. */
package org.knapweedbank.store.journal;
