/** Claims of idempotency keys, by which a keyed request runs at most once. */
package org.knapweedbank.store.claim;
