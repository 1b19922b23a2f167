/** Suppression of duplicate requests by attempt identifier and idempotency key. */
package org.knapweedbank.routing.duplicate;
