/** Clock interface and its implementations. */
package org.knapweedbank.time;
