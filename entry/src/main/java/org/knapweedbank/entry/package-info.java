/** Entry role of the daemon: settings, listeners and their wiring. */
package org.knapweedbank.entry;
