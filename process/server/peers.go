package server

import (
	"context"
	"time"

	"hemlockpin/connection/messenger"
)

// handlePeer answers one message of another host.
func (ser *Server) handlePeer(ctx context.Context, env *messenger.Envelope) *messenger.Envelope {
	now := time.Now()
	switch bod := env.GetBody().(type) {
	case *messenger.Envelope_Ping:
		return ser.gossiper.HandlePing(ctx, bod.Ping, now)
	case *messenger.Envelope_PingIndirect:
		return ser.gossiper.HandlePingIndirect(ctx, bod.PingIndirect)
	case *messenger.Envelope_MembersPull:
		return ser.gossiper.HandleMembersPull(ctx, bod.MembersPull, now)
	case *messenger.Envelope_NoticesPush:
		return ser.gossiper.HandleNotices(ctx, bod.NoticesPush, now)
	case *messenger.Envelope_ListPush:
		return ser.gossiper.HandleListPush(ctx, bod.ListPush, now)
	case *messenger.Envelope_ListPull:
		return ser.gossiper.HandleListPull(bod.ListPull, now)
	case *messenger.Envelope_TablesPull:
		return ser.gossiper.HandleTablesPull(bod.TablesPull)
	case *messenger.Envelope_TablesPush:
		return ser.gossiper.HandleTablesPush(bod.TablesPush)
	case *messenger.Envelope_ClaimCommit:
		return &messenger.Envelope{Body: &messenger.Envelope_ClaimResult{ClaimResult: ser.journal.Write(ctx, bod.ClaimCommit)}}
	case *messenger.Envelope_StatusQuery:
		return &messenger.Envelope{Body: &messenger.Envelope_StatusReport{StatusReport: ser.statusReport()}}
	case *messenger.Envelope_TeamsQuery:
		return &messenger.Envelope{Body: &messenger.Envelope_TeamsReport{TeamsReport: ser.teamsReport()}}
	case *messenger.Envelope_OwnerQuery:
		return ser.reclaimer.HandleQuery(bod.OwnerQuery)
	case *messenger.Envelope_DrainOrder:
		return ser.handleDrainOrder(bod.DrainOrder)
	default:
		if rep := ser.handleGrantsAndLimits(ctx, env); rep != nil {
			return rep
		}
		return messenger.NewFailure("unknown_message", "this host does not know the message")
	}
}
