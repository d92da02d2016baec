/** Chooses versions, tests them against each other, and drives rollouts. */
package org.guavagw.internal.rollout;
