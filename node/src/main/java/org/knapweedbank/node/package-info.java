/** What the processes of a deployment share: timers, and the answers that callers get. */
package org.knapweedbank.node;
