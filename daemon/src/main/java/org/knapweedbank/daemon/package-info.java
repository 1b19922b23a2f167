/** Main class and settings of the daemon. */
package org.knapweedbank.daemon;
