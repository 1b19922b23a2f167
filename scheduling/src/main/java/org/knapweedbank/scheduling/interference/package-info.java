/** Control of interference between tasks that share a VM. */
package org.knapweedbank.scheduling.interference;
