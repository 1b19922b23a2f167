/** Agent role: serves one worker VM and its upstreams. */
package org.knapweedbank.agent;
