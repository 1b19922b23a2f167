/** Suppression of duplicate requests by attempt id and idempotency key. */
package org.knapweedbank.routing.duplicate;
