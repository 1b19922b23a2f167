/** Main class, roles and settings of the daemon. */
package org.knapweedbank.daemon;
