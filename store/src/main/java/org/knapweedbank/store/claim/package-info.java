/** Claims of idempotency keys, which ensure that a request with such a key runs at most once. */
package org.knapweedbank.store.claim;
