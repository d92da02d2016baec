/** Version selection for requests, and the evaluation of rollouts. */
package org.guavagw.gateway.internal.rollout;
