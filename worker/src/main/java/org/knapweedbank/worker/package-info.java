/** Client interface of the platform's workers. A worker runs tasks under leases on one VM. */
package org.knapweedbank.worker;
