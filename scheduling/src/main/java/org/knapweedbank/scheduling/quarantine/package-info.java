/** Evidence against workers that fail tasks. */
package org.knapweedbank.scheduling.quarantine;
