/** Interface of the platform's workers, which run tasks under leases on one VM each. */
package org.knapweedbank.worker;
